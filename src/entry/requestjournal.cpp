#include "requestjournal.h"

#include <utility>

namespace RadishSwitch
{

RequestJournal::RequestJournal(const TimerService &timers)
    : m_timers(timers)
{
}

void RequestJournal::begin(const RequestId &request, const BudgetId &budget, const PoolId &pool)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto [it, isNew] = m_stories.try_emplace(request);
    it->second.request = request;
    it->second.budget = budget;
    it->second.pool = pool;
    it->second.result.clear();
    if (!isNew) {
        return;
    }
    m_order.push_back(request);
    if (m_order.size() > kMostRequests) {
        m_stories.erase(m_order.front());
        m_order.pop_front();
    }
}

void RequestJournal::note(const RequestId &request, std::string text)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_stories.find(request);
    if (it != m_stories.end()) {
        it->second.steps.push_back({m_timers.wallClockMilliseconds(), std::move(text)});
    }
}

void RequestJournal::end(const RequestId &request, std::string result)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_stories.find(request);
    if (it != m_stories.end()) {
        it->second.result = std::move(result);
    }
}

std::optional<RequestStory> RequestJournal::find(const RequestId &request) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_stories.find(request);
    return it == m_stories.end() ? std::nullopt : std::optional(it->second);
}

}
