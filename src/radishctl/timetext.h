#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// A moment in milliseconds since 1970 from "30m", "2h" or "7d" before `nowMs`, a day such as "2026-03-01", or a moment
/// such as "2026-03-01T12:00:00Z". InvalidSettings for anything else.
absl::StatusOr<std::int64_t> parseSince(const std::string &text, std::int64_t nowMs);

}
