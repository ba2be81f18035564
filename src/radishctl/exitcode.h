#pragma once

#include <absl/status/status.h>

namespace RadishSwitch
{

/// What the program ends with, for CI.
enum class ExitCode {
    Ok = 0,
    /// Refused or failed; the error stream says which and whether it may have taken effect.
    Failed = 1,
    Usage = 2,
    /// `table plan` found something to change.
    PlanHasChanges = 3,
    /// Somebody else changed the same thing first.
    Conflict = 4,
};

ExitCode exitCodeOf(const absl::Status &status);

}
