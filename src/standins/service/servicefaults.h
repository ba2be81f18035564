#pragma once

#include "base/timerservice.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// What is wrong with a stand-in service at present.
struct ServiceFaults {
    /// Calls are taken in, executed and never answered.
    bool isNeverAnswering = false;
    /// Calls are refused with 503 and not executed.
    bool isRefusing = false;
    /// Every n-th call is executed and its answer lost with the connection; zero for none.
    std::int64_t lostAnswerInterval = 0;
    /// Time that each call takes besides.
    Duration delay = Duration::zero();
    /// The process ends at once.
    bool isDying = false;

    bool operator==(const ServiceFaults &) const = default;
};

/// Changes the faults that a JSON document names: "never_answer", "refuse", "die" (booleans), "lose_answer" (n),
/// "delay_ms", and "clear", which takes all others away first. InvalidRequest for anything else.
absl::StatusOr<ServiceFaults> changedFaults(ServiceFaults faults, const std::string &document);

}
