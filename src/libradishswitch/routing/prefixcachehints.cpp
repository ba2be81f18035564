#include "routing/prefixcachehints.h"

#include <xxhash.h>

#include <algorithm>

namespace RadishSwitch
{

std::vector<std::uint64_t> prefixChainHashes(std::string_view model, std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    const std::size_t n = std::min(prompt.size() / kPrefixBlockBytes, kMaximumPrefixBlocks);
    hashes.reserve(n);
    std::uint64_t chain = XXH3_64bits(model.data(), model.size());
    for (std::size_t i = 0; i < n; ++i) {
        chain = XXH3_64bits_withSeed(prompt.data() + i * kPrefixBlockBytes, kPrefixBlockBytes, chain);
        hashes.push_back(chain);
    }
    return hashes;
}

void PrefixCacheHints::applyEvents(EndpointSlot slot, const std::vector<CacheEvent> &events)
{
    for (const CacheEvent &event : events) {
        EndpointHints &hints = hintsOf(slot);
        if (event.sequence <= hints.lastSequence) {
            continue;
        }
        if (hints.lastSequence != 0 && event.sequence != hints.lastSequence + 1) {
            dropAll(slot);
        }
        hints.lastSequence = event.sequence;
        for (const std::uint64_t hash : event.prefixHashes) {
            event.isStored ? add(slot, hash) : drop(slot, hash);
        }
    }
}

void PrefixCacheHints::noteDispatched(EndpointSlot slot, const std::vector<std::uint64_t> &hashes)
{
    for (const std::uint64_t hash : hashes) {
        add(slot, hash);
    }
}

void PrefixCacheHints::removeEndpoint(EndpointSlot slot)
{
    dropAll(slot);
    hintsOf(slot).lastSequence = 0;
}

std::size_t PrefixCacheHints::cachedBlocks(EndpointSlot slot, const std::vector<std::uint64_t> &hashes) const
{
    // A cached block is only of use together with the blocks before it, so a cache that holds a block holds those, too.
    // The end of the cached prefix can therefore be found by bisection.
    const auto end = std::ranges::partition_point(hashes, [&](std::uint64_t hash) {
        return isHeldBy(hash, slot);
    });
    return static_cast<std::size_t>(end - hashes.begin());
}

absl::InlinedVector<EndpointSlot, 4> PrefixCacheHints::holders(const std::vector<std::uint64_t> &hashes,
                                                               std::size_t limit) const
{
    const auto end = std::ranges::partition_point(hashes, [&](std::uint64_t hash) {
        return m_holders.contains(hash);
    });
    Holders found;
    if (end == hashes.begin()) {
        return found;
    }
    const Holders &deepest = m_holders.find(*(end - 1))->second;
    const std::size_t n = std::min(limit, deepest.size());
    found.assign(deepest.rbegin(), deepest.rbegin() + static_cast<std::ptrdiff_t>(n));
    return found;
}

PrefixCacheHints::EndpointHints &PrefixCacheHints::hintsOf(EndpointSlot slot)
{
    if (slot >= m_endpoints.size()) {
        m_endpoints.resize(slot + 1);
    }
    return m_endpoints[slot];
}

bool PrefixCacheHints::isHeldBy(std::uint64_t hash, EndpointSlot slot) const
{
    const auto it = m_holders.find(hash);
    return it != m_holders.end() && std::ranges::find(it->second, slot) != it->second.end();
}

void PrefixCacheHints::add(EndpointSlot slot, std::uint64_t hash)
{
    Holders &holders = m_holders[hash];
    if (std::ranges::find(holders, slot) != holders.end()) {
        return;
    }
    holders.push_back(slot);
    EndpointHints &hints = hintsOf(slot);
    hints.hashes.push_back(hash);
    if (hints.hashes.size() > kHashesPerEndpoint) {
        const std::uint64_t oldest = hints.hashes.front();
        hints.hashes.pop_front();
        drop(slot, oldest);
    }
}

void PrefixCacheHints::drop(EndpointSlot slot, std::uint64_t hash)
{
    const auto it = m_holders.find(hash);
    if (it == m_holders.end()) {
        return;
    }
    const auto found = std::ranges::find(it->second, slot);
    if (found != it->second.end()) {
        it->second.erase(found);
    }
    if (it->second.empty()) {
        m_holders.erase(it);
    }
}

void PrefixCacheHints::dropAll(EndpointSlot slot)
{
    for (const std::uint64_t hash : hintsOf(slot).hashes) {
        drop(slot, hash);
    }
    hintsOf(slot).hashes.clear();
}

}
