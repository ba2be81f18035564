#pragma once

#include "base/timerservice.h"

namespace RadishSwitch
{

/// Delays for closing the portions of dead holders.
struct PortionCloserSettings {
    /// Minimum time from the start of this process until it asks the agents, so that it has discovered all of them.
    Duration discoveryTime = std::chrono::seconds(3);
    /// Bounds of the pause between two rounds of queries while agents are missing or runs are in progress. The pause
    /// doubles with each round and is jittered.
    Duration firstPause = std::chrono::milliseconds(500);
    Duration longestPause = std::chrono::seconds(30);
    /// A portion is withheld when an agent could not be asked about it for this time. The closer continues to ask.
    Duration withholdAfter = std::chrono::seconds(10);

    bool operator==(const PortionCloserSettings &) const = default;
};

}
