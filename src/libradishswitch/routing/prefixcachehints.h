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

/// Chain hashes of a prompt, one for each full block of `kPrefixBlockBytes` bytes. Each hash covers the model's name
/// and the prompt up to the end of its block, so that two prompts share a hash exactly when they share that prefix.
/// Returns at most `kMaximumPrefixBlocks` hashes; the rest of a longer prompt is not hashed.
inline constexpr std::size_t kPrefixBlockBytes = 512;
inline constexpr std::size_t kMaximumPrefixBlocks = 64;
std::vector<std::uint64_t> prefixChainHashes(std::string_view model, std::string_view prompt);

/// What the prefix caches of the endpoints probably hold, from their cache events, which come late and with gaps, and
/// from the prompts that this process has sent to them. A wrong hint makes a request slower but never changes its
/// answer.
class PrefixCacheHints
{
public:
    static constexpr std::size_t kHashesPerEndpoint = 4096;

    /// Applies cache events of an endpoint in order. A gap in their numbers may hide an eviction, and the endpoint
    /// would keep getting work for prefixes that it no longer holds. After a gap all hints for the endpoint are
    /// therefore dropped.
    void applyEvents(EndpointSlot slot, const std::vector<CacheEvent> &events);

    /// A prompt with these hashes was sent to the endpoint, whose cache will hold it.
    void noteDispatched(EndpointSlot slot, const std::vector<std::uint64_t> &hashes);

    /// Drops all hints for the endpoint, and the number of its last event.
    void removeEndpoint(EndpointSlot slot);

    /// How many leading blocks of the prompt the endpoint probably holds.
    std::size_t cachedBlocks(EndpointSlot slot, const std::vector<std::uint64_t> &hashes) const;

    /// Up to `limit` endpoints that hold the longest known prefix of the prompt, the most recently added first.
    absl::InlinedVector<EndpointSlot, 4> holders(const std::vector<std::uint64_t> &hashes, std::size_t limit) const;

    std::size_t hashCount() const
    {
        return m_holders.size();
    }

private:
    using Holders = absl::InlinedVector<EndpointSlot, 4>;

    struct EndpointHints {
        std::uint64_t lastSequence = 0;
        /// The endpoint's hashes, the oldest first. May contain hashes that were evicted in the meantime.
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
