#include "batchscheduler.h"

namespace RadishSwitch
{

BatchScheduler::BatchScheduler(int slots)
    : m_slots(slots)
{
}

BatchScheduler::Ticket BatchScheduler::enter(int priority, std::int64_t tokens, std::function<void()> onAdmitted)
{
    std::unique_lock lock(m_mutex);
    const Ticket ticket = ++m_lastTicket;
    if (m_running.size() < static_cast<std::size_t>(m_slots)) {
        m_running.insert(ticket);
        lock.unlock();
        onAdmitted();
        return ticket;
    }
    const Place place{priority, ticket};
    m_places.emplace(ticket, place);
    m_queuedTokens += tokens;
    m_waiting.emplace(place, Waiting{tokens, std::move(onAdmitted)});
    return ticket;
}

void BatchScheduler::leave(Ticket ticket)
{
    std::unique_lock lock(m_mutex);
    if (m_running.erase(ticket) == 0) {
        const auto it = m_places.find(ticket);
        if (it != m_places.end()) {
            takeQueued(m_waiting.find(it->second));
        }
        return;
    }
    if (m_waiting.empty()) {
        return;
    }
    const Ticket next = m_waiting.begin()->first.ticket;
    const std::function<void()> onAdmitted = takeQueued(m_waiting.begin());
    m_running.insert(next);
    lock.unlock();
    onAdmitted();
}

BatchLoad BatchScheduler::load() const
{
    const std::lock_guard lock(m_mutex);
    return BatchLoad{static_cast<int>(m_running.size()), static_cast<int>(m_waiting.size()), m_queuedTokens};
}

std::function<void()> BatchScheduler::takeQueued(std::map<Place, Waiting>::iterator it)
{
    std::function<void()> onAdmitted = std::move(it->second.onAdmitted);
    m_queuedTokens -= it->second.tokens;
    m_places.erase(it->first.ticket);
    m_waiting.erase(it);
    return onAdmitted;
}

}
