#pragma once

#include "base/identifier.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace RadishSwitch
{

enum class ClaimState {
    /// It may run, or have run.
    Claimed,
    Done,
    /// It certainly did not run; may be claimed again.
    NotRun,
};

/// The leave to run a non-idempotent request, as the store keeps it.
struct Claim {
    RequestId request;
    std::string fingerprint;
    /// The grant's attempt: by it a claimer whose answer was lost finds out whether the claim is its own.
    AttemptId attempt;
    ClaimState state = ClaimState::Claimed;
    /// Milliseconds since 1970.
    std::int64_t wallTime = 0;

    bool operator==(const Claim &) const = default;
};

/// The text of an object `claims/NNNN`, and back. Errors: ObjectMalformed.
std::string encodeClaims(const std::vector<Claim> &claims);
absl::StatusOr<std::vector<Claim>> decodeClaims(const std::string &text);

}
