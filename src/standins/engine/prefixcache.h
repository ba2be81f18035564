#pragma once

#include "base/timerservice.h"

#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace RadishSwitch
{

/// A change of the prefix cache, as the engine publishes it.
struct PrefixCacheEvent {
    std::uint64_t sequence = 0;
    bool isStored = false;
    std::vector<std::uint64_t> hashes;
    /// Microseconds since 1970.
    std::int64_t time = 0;

    bool operator==(const PrefixCacheEvent &) const = default;
};

/// Which prefixes the engine still has in its limited memory; the block that was used longest ago goes first. Safe on
/// any thread.
class PrefixCache
{
public:
    /// Events that are kept to be asked for.
    static constexpr std::size_t kMaximumEvents = 4096;

    explicit PrefixCache(int blocks);

    /// How many leading blocks of the conversation are there. They count as used now.
    int cachedBlocks(const std::vector<std::uint64_t> &hashes);

    /// Stores the blocks of a conversation, and drops others for lack of room.
    void store(const std::vector<std::uint64_t> &hashes);

    /// Events after `sequence` that happened `delay` ago or earlier. Every n-th one is left out when `lostInterval`
    /// is above zero; their numbers show the gap.
    std::vector<PrefixCacheEvent> eventsSince(std::uint64_t sequence, Duration delay, std::int64_t lostInterval) const;

private:
    void touch(std::uint64_t hash);
    void addEvent(bool isStored, std::vector<std::uint64_t> hashes);

    mutable std::mutex m_mutex;
    std::size_t m_blocks;
    /// The block used last comes first.
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
    std::deque<PrefixCacheEvent> m_events;
    std::uint64_t m_lastSequence = 0;
};

}
