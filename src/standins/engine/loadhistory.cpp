#include "loadhistory.h"

#include "standinprogram.h"

namespace RadishSwitch
{

namespace
{

constexpr std::int64_t kKept = 30'000'000;
constexpr std::int64_t kWindow = 1'000'000;
/// Entries closer together than this are made one.
constexpr std::int64_t kResolution = 5'000;

}

void LoadHistory::add(const BatchLoad &load, std::int64_t tokens)
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t now = recordTime();
    if (!m_entries.empty() && now - m_entries.back().time < kResolution) {
        m_entries.back().load = load;
        m_entries.back().tokens += tokens;
        return;
    }
    m_entries.push_back(Entry{now, load, tokens});
    while (now - m_entries.front().time > kKept) {
        m_entries.pop_front();
    }
}

BatchLoad LoadHistory::load(Duration lag) const
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t latest = recordTime() - lag.count();
    for (auto it = m_entries.rbegin(); it != m_entries.rend(); ++it) {
        if (it->time <= latest) {
            return it->load;
        }
    }
    return BatchLoad();
}

double LoadHistory::tokensPerSecond(Duration lag) const
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t latest = recordTime() - lag.count();
    std::int64_t tokens = 0;
    for (auto it = m_entries.rbegin(); it != m_entries.rend() && it->time > latest - kWindow; ++it) {
        tokens += it->time <= latest ? it->tokens : 0;
    }
    return static_cast<double>(tokens) * 1e6 / static_cast<double>(kWindow);
}

}
