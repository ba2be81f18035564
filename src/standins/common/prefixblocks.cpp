#include "prefixblocks.h"

#include <xxhash.h>

#include <cctype>
#include <string>

namespace RadishSwitch
{

std::vector<std::uint64_t> prefixBlockHashes(std::string_view conversation)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t seed = 0;
    std::string block;
    int words = 0;
    std::size_t n = 0;
    const auto isSpaceAt = [&](std::size_t place) {
        return std::isspace(static_cast<unsigned char>(conversation[place])) != 0;
    };
    while (n < conversation.size()) {
        if (isSpaceAt(n)) {
            ++n;
            continue;
        }
        const std::size_t begin = n;
        while (n < conversation.size() && !isSpaceAt(n)) {
            ++n;
        }
        block += block.empty() ? "" : " ";
        block += conversation.substr(begin, n - begin);
        if (++words == kWordsPerPrefixBlock) {
            seed = XXH3_64bits_withSeed(block.data(), block.size(), seed);
            hashes.push_back(seed);
            block.clear();
            words = 0;
        }
    }
    return hashes;
}

}
