#pragma once

#include <cstdint>
#include <string_view>

namespace RadishSwitch
{

/// Hash of a name for rendezvous hashing.
std::uint64_t rendezvousHash(std::string_view name);

/// Score of a candidate for a key, both given by their hashes. A key belongs to the candidate with the highest score;
/// when that candidate is removed, only its own keys move to others.
std::uint64_t rendezvousScore(std::uint64_t candidate, std::uint64_t key);

}
