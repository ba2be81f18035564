#pragma once

#include "base/identifier.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// Who decides on the requests of one key shard, as the store's object `keyowners/NNNN` says.
struct KeyOwner {
    /// Empty after a planned stop: the shard is free for the next owner.
    IncarnationId incarnation;
    std::string address;
    std::string region;
    /// Grows by one with every change of owner.
    std::uint64_t epoch = 0;

    bool operator==(const KeyOwner &) const = default;
};

/// The object's text, and back. Errors: ObjectMalformed.
std::string encodeKeyOwner(const KeyOwner &owner);
absl::StatusOr<KeyOwner> decodeKeyOwner(const std::string &text);

}
