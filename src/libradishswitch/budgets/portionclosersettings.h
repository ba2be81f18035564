#pragma once

#include "base/timerservice.h"

namespace RadishSwitch
{

/// How portions of dead holders are closed.
struct PortionCloserSettings {
    /// Agents are asked no earlier than this after the start of the process, so that it has heard of all of them.
    Duration discoveryTime = std::chrono::seconds(3);
    /// Between two rounds while agents are missing or runs go on. Grows to the longest, and is jittered.
    Duration firstPause = std::chrono::milliseconds(500);
    Duration longestPause = std::chrono::seconds(30);
    /// A portion of which an agent could not be asked for so long is withheld. Asking goes on.
    Duration withholdAfter = std::chrono::seconds(10);

    bool operator==(const PortionCloserSettings &) const = default;
};

}
