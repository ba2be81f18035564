#pragma once

#include "base/identifier.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// The entry that decides on the requests of one key shard, as recorded in the store's object `keyowners/NNNN`.
struct KeyOwner {
    /// Empty after a planned shutdown: the shard has no owner and any entry can take it.
    IncarnationId incarnation;
    std::string address;
    std::string region;
    /// Incremented with every change of owner.
    std::uint64_t epoch = 0;

    bool operator==(const KeyOwner &) const = default;
};

/// Encodes and decodes the text of the object. Error: ObjectMalformed.
std::string encodeKeyOwner(const KeyOwner &owner);
absl::StatusOr<KeyOwner> decodeKeyOwner(const std::string &text);

}
