#pragma once

#include <cstdint>
#include <string_view>

namespace RadishSwitch
{

/// The hash by which a name takes part in rendezvous hashing.
std::uint64_t rendezvousHash(std::string_view name);

/// The score of a candidate for a key, both by their hashes. The candidate with the greatest score has the key; when
/// it goes, only its own keys move.
std::uint64_t rendezvousScore(std::uint64_t candidate, std::uint64_t key);

}
