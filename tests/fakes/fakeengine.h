#pragma once

#include "base/timerservice.h"
#include "routing/endpointreport.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <utility>
#include <vector>

/// A model engine on virtual time, with a fixed number of slots, a first-in first-out queue, and a prefix cache of
/// limited size.
class FakeEngine
{
public:
    using Duration = RadishSwitch::Duration;

    struct Run {
        std::int64_t promptTokens = 0;
        std::int64_t answerTokens = 0;
        std::vector<std::uint64_t> prefixHashes;
        std::function<void()> firstToken;
        std::function<void()> done;
    };

    static constexpr double kPrefillTokensPerSecond = 8000;
    static constexpr double kTokensPerSecondPerSlot = 50;

    FakeEngine(RadishSwitch::TimerService &timers, std::uint32_t slots, std::size_t cacheBlocks = 1024)
        : m_timers(timers)
        , m_slots(slots)
        , m_cacheBlocks(cacheBlocks)
    {
    }

    void submit(Run run)
    {
        m_queue.push_back(std::move(run));
        m_longestQueue = std::max(m_longestQueue, m_queue.size());
        startWaiting();
    }

    RadishSwitch::EndpointLoad load() const
    {
        RadishSwitch::EndpointLoad load;
        load.running = m_running;
        load.queued = static_cast<std::uint32_t>(m_queue.size());
        load.capacity = m_slots;
        load.tokensPerSecond = kTokensPerSecondPerSlot * m_slots;
        for (const Run &run : m_queue) {
            load.queuedTokens += run.answerTokens;
        }
        return load;
    }

    std::vector<RadishSwitch::CacheEvent> takeCacheEvents()
    {
        return std::exchange(m_events, {});
    }

    std::size_t longestQueue() const
    {
        return m_longestQueue;
    }

    std::int64_t blocksRequested() const
    {
        return m_blocksRequested;
    }

    std::int64_t blocksHit() const
    {
        return m_blocksHit;
    }

private:
    static Duration span(double seconds)
    {
        return Duration(static_cast<Duration::rep>(seconds * 1e6));
    }

    void startWaiting()
    {
        while (m_running < m_slots && !m_queue.empty()) {
            Run run = std::move(m_queue.front());
            m_queue.pop_front();
            start(std::move(run));
        }
    }

    void start(Run run)
    {
        ++m_running;
        const double missing = 1 - useCache(run.prefixHashes);
        const Duration prefill = span(missing * static_cast<double>(run.promptTokens) / kPrefillTokensPerSecond);
        const Duration answer = span(static_cast<double>(run.answerTokens) / kTokensPerSecondPerSlot);
        m_timers.after(prefill, std::move(run.firstToken));
        m_timers.after(prefill + answer, [this, done = std::move(run.done)] {
            --m_running;
            startWaiting();
            done();
        });
    }

    /// Returns the share of the prompt's leading blocks that the cache held, and moves all its blocks to the front of
    /// the cache.
    double useCache(const std::vector<std::uint64_t> &hashes)
    {
        std::int64_t hits = 0;
        bool isPrefix = true;
        std::vector<std::uint64_t> stored;
        for (const std::uint64_t hash : hashes) {
            const auto it = std::ranges::find(m_cache, hash);
            isPrefix = isPrefix && it != m_cache.end();
            hits += isPrefix ? 1 : 0;
            if (it == m_cache.end()) {
                stored.push_back(hash);
            } else {
                m_cache.erase(it);
            }
        }
        // The last block of a prompt is evicted first, because a block is of no use without the blocks before it.
        for (auto it = hashes.rbegin(); it != hashes.rend(); ++it) {
            m_cache.push_front(*it);
        }
        std::vector<std::uint64_t> evicted;
        while (m_cache.size() > m_cacheBlocks) {
            evicted.push_back(m_cache.back());
            m_cache.pop_back();
        }
        addEvent(true, std::move(stored));
        addEvent(false, std::move(evicted));
        m_blocksRequested += static_cast<std::int64_t>(hashes.size());
        m_blocksHit += hits;
        return hashes.empty() ? 0 : static_cast<double>(hits) / static_cast<double>(hashes.size());
    }

    void addEvent(bool isStored, std::vector<std::uint64_t> hashes)
    {
        if (!hashes.empty()) {
            m_events.push_back({++m_eventSequence, isStored, std::move(hashes)});
        }
    }

    RadishSwitch::TimerService &m_timers;
    const std::uint32_t m_slots;
    const std::size_t m_cacheBlocks;
    std::uint32_t m_running = 0;
    std::deque<Run> m_queue;
    std::list<std::uint64_t> m_cache;
    std::vector<RadishSwitch::CacheEvent> m_events;
    std::uint64_t m_eventSequence = 0;
    std::size_t m_longestQueue = 0;
    std::int64_t m_blocksRequested = 0;
    std::int64_t m_blocksHit = 0;
};
