#pragma once

#include "base/identifier.h"

#include <xxhash.h>

#include <cstdint>

namespace RadishSwitch
{

/// 64-bit hash of an identifier, for use where the identifier itself would take too much memory.
template<typename Tag>
std::uint64_t nameHash(const Identifier<Tag> &id)
{
    return XXH3_64bits(id.value().data(), id.value().size());
}

}
