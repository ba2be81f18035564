#pragma once

#include "routing/endpointreport.h"
#include "routing/endpointstate.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// Chain hashes of a prompt: one for each whole block of `kPrefixBlockBytes` bytes, each over the model's name and
/// everything before, so that two prompts share a hash just when they share the prefix. At most `kMaximumPrefixBlocks`.
inline constexpr std::size_t kPrefixBlockBytes = 512;
inline constexpr std::size_t kMaximumPrefixBlocks = 64;
std::vector<std::uint64_t> prefixChainHashes(std::string_view model, std::string_view prompt);

/// What the endpoints' prefix caches probably hold: from their cache events, which come late and with gaps, and from
/// what this process has sent there. A wrong hint costs time, never an answer.
class PrefixCacheHints
{
public:
    static constexpr std::size_t kHashesPerEndpoint = 4096;

    /// Takes in an endpoint's events in order. At a gap in their numbers an eviction may have been missed, and the
    /// endpoint would draw work for a cache that it no longer has: everything known of it is dropped.
    void applyEvents(EndpointSlot slot, const std::vector<CacheEvent> &events);

    /// A prompt went to this endpoint, whose cache will hold it.
    void noteDispatched(EndpointSlot slot, const std::vector<std::uint64_t> &hashes);

    /// Drops everything known of an endpoint, also where its event numbers stand.
    void removeEndpoint(EndpointSlot slot);

    /// How many of the prompt's leading blocks the endpoint probably holds.
    std::size_t cachedBlocks(EndpointSlot slot, const std::vector<std::uint64_t> &hashes) const;

    /// Up to `limit` endpoints that hold the most of the prompt, the latest to be heard of first.
    absl::InlinedVector<EndpointSlot, 4> holders(const std::vector<std::uint64_t> &hashes, std::size_t limit) const;

    std::size_t hashCount() const
    {
        return m_holders.size();
    }

private:
    using Holders = absl::InlinedVector<EndpointSlot, 4>;

    struct EndpointHints {
        std::uint64_t lastSequence = 0;
        /// The oldest first; may name a hash that has been evicted since.
        std::deque<std::uint64_t> hashes;
    };

    EndpointHints &hintsOf(EndpointSlot slot);
    bool isHeldBy(std::uint64_t hash, EndpointSlot slot) const;
    void add(EndpointSlot slot, std::uint64_t hash);
    void drop(EndpointSlot slot, std::uint64_t hash);
    void dropAll(EndpointSlot slot);

    absl::flat_hash_map<std::uint64_t, Holders> m_holders;
    std::vector<EndpointHints> m_endpoints;
};

}
