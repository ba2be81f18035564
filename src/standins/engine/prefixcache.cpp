#include "prefixcache.h"

#include "standinprogram.h"

namespace RadishSwitch
{

PrefixCache::PrefixCache(int blocks)
    : m_blocks(static_cast<std::size_t>(blocks))
{
}

int PrefixCache::cachedBlocks(const std::vector<std::uint64_t> &hashes)
{
    const std::lock_guard lock(m_mutex);
    int n = 0;
    for (const std::uint64_t hash : hashes) {
        if (!m_places.contains(hash)) {
            break;
        }
        touch(hash);
        ++n;
    }
    return n;
}

void PrefixCache::store(const std::vector<std::uint64_t> &hashes)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::uint64_t> stored;
    // From the end, so that a conversation's first blocks are the last ones to be dropped.
    for (auto it = hashes.rbegin(); it != hashes.rend(); ++it) {
        if (!m_places.contains(*it)) {
            stored.insert(stored.begin(), *it);
        }
        touch(*it);
    }
    std::vector<std::uint64_t> dropped;
    while (m_order.size() > m_blocks) {
        dropped.push_back(m_order.back());
        m_places.erase(m_order.back());
        m_order.pop_back();
    }
    addEvent(true, std::move(stored));
    addEvent(false, std::move(dropped));
}

std::vector<PrefixCacheEvent> PrefixCache::eventsSince(std::uint64_t sequence, Duration delay,
                                                       std::int64_t lostInterval) const
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t latest = recordTime() - delay.count();
    std::vector<PrefixCacheEvent> events;
    for (const PrefixCacheEvent &event : m_events) {
        const bool isLost = lostInterval > 0 && event.sequence % static_cast<std::uint64_t>(lostInterval) == 0;
        if (event.sequence > sequence && event.time <= latest && !isLost) {
            events.push_back(event);
        }
    }
    return events;
}

void PrefixCache::touch(std::uint64_t hash)
{
    const auto it = m_places.find(hash);
    if (it != m_places.end()) {
        m_order.splice(m_order.begin(), m_order, it->second);
        return;
    }
    m_order.push_front(hash);
    m_places.emplace(hash, m_order.begin());
}

void PrefixCache::addEvent(bool isStored, std::vector<std::uint64_t> hashes)
{
    if (hashes.empty()) {
        return;
    }
    m_events.push_back(PrefixCacheEvent{++m_lastSequence, isStored, std::move(hashes), recordTime()});
    if (m_events.size() > kMaximumEvents) {
        m_events.pop_front();
    }
}

}
