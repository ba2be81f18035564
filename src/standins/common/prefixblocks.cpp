#include "prefixblocks.h"

#include <xxhash.h>

#include <algorithm>

namespace RadishSwitch
{

std::vector<std::uint64_t> prefixBlockHashes(std::string_view model, std::string_view conversation)
{
    const std::size_t count = std::min(conversation.size() / kPrefixBlockBytes, kMaximumPrefixBlocks);
    std::vector<std::uint64_t> hashes;
    std::uint64_t seed = XXH3_64bits(model.data(), model.size());
    for (std::size_t n = 0; n < count; ++n) {
        seed = XXH3_64bits_withSeed(conversation.data() + n * kPrefixBlockBytes, kPrefixBlockBytes, seed);
        hashes.push_back(seed);
    }
    return hashes;
}

}
