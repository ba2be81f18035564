#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// Bytes of a conversation that make one block of the engine's prefix cache.
constexpr std::size_t kPrefixBlockBytes = 512;

/// Blocks of one conversation that the cache looks at.
constexpr std::size_t kMaximumPrefixBlocks = 64;

/// The hashes of a conversation's blocks, as they stand in the engine's cache events.
///
/// The conversation is the text of a ChatPrompt: role and content of each message, in order. It is cut into blocks of
/// 512 bytes; bytes left over make no block, nor does what follows the 64th one. A block's hash is XXH3 (64 bits) over
/// its bytes, seeded with the hash of the block before it; the first one's seed is XXH3 over the model's name. So
/// equal hashes mean equal conversations up to there, with the same model.
std::vector<std::uint64_t> prefixBlockHashes(std::string_view model, std::string_view conversation);

}
