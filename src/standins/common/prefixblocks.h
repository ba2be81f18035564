#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// How many words of a conversation make one block of the prefix cache.
constexpr int kWordsPerPrefixBlock = 16;

/// The hashes of a conversation's blocks, as they stand in the engine's cache events.
///
/// The conversation is the text of a ChatPrompt: role and content of each message, in order. Its words, apart by white
/// space, are taken sixteen at a time; words left over make no block. A block's hash is XXH3 (64 bits) over its words
/// joined by single spaces, seeded with the hash of the block before it; the first one's seed is 0. So equal hashes
/// mean equal conversations up to there.
std::vector<std::uint64_t> prefixBlockHashes(std::string_view conversation);

}
