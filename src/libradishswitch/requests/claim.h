#pragma once

#include "base/identifier.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace RadishSwitch
{

enum class ClaimState {
    /// The request may run, or may have run.
    Claimed,
    Done,
    /// The request has certainly not run and may be claimed again.
    NotRun,
};

/// The exclusive permission to run a non-idempotent request, as it is written to the object store.
struct Claim {
    RequestId request;
    std::string fingerprint;
    /// The attempt of the grant. A home that did not receive the answer to its write recognises its own claim by this
    /// id.
    AttemptId attempt;
    ClaimState state = ClaimState::Claimed;
    /// Time of the claim in milliseconds since 1970-01-01 UTC.
    std::int64_t wallTime = 0;

    bool operator==(const Claim &) const = default;
};

/// Encodes and decodes the text of an object `claims/NNNN`. Error: ObjectMalformed.
std::string encodeClaims(const std::vector<Claim> &claims);
absl::StatusOr<std::vector<Claim>> decodeClaims(const std::string &text);

}
