#pragma once

#include "callstatistics.h"
#include "httpmessages.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// A call of the object API, taken from its request.
struct PlatformCall {
    CallKind kind = CallKind::Get;
    /// The key, or the prefix of a list or watch.
    std::string key;
    std::string value;
    /// Zero: there must be none.
    std::uint64_t expectedVersion = 0;
    std::uint64_t fromVersion = 0;

    bool operator==(const PlatformCall &) const = default;

    /// UnknownRoute, or InvalidRequest, when `request` is none.
    static absl::StatusOr<PlatformCall> read(const HttpRequest &request);
};

}
