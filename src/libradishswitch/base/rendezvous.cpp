#include "base/rendezvous.h"

#include <xxhash.h>

namespace RadishSwitch
{

std::uint64_t rendezvousHash(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::uint64_t rendezvousScore(std::uint64_t candidate, std::uint64_t key)
{
    return XXH3_64bits_withSeed(&candidate, sizeof candidate, key);
}

}
