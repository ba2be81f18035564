#pragma once

#include "base/timerservice.h"

#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// The load and speed of an endpoint, as measured by the process beside it. Times that are not known are zero.
struct EndpointLoadReport {
    /// Address of the endpoint, as "ip:port".
    std::string address;
    /// Start of its incarnation, in Unix milliseconds.
    std::int64_t startedAtMilliseconds = 0;
    /// Runs that have started, and requests that wait to start.
    int running = 0;
    int waiting = 0;
    /// Mean time between two events of a running stream during about the last second.
    Duration eventInterval{};
    /// The same, only from times at which no request waited. It shows the speed of the endpoint regardless of its load.
    Duration idleEventInterval{};
    /// Longest time during the last second in which a running stream had no event.
    Duration longestPause{};
    /// Time until a request that arrives now starts to run.
    Duration expectedWait{};
    /// Used share of its memory, from 0 to 1.
    double memoryShare = 0;
    /// Age of the measurement.
    Duration age{};

    bool operator==(const EndpointLoadReport &) const = default;
};

/// The load of a gateway, as reported by itself.
struct GatewayLoadReport {
    std::string gateway;
    std::string zone;
    /// Used share of its scarcest resource; above 1 if it has more work than it can do.
    double fullness = 0;
    /// Bandwidth of its link in Mbit/s; zero if unknown.
    double linkMbps = 0;
    /// Whether it has asked the load balancer for no new callers because it is full.
    bool isDiverting = false;
    /// Age of the measurement.
    Duration age{};

    bool operator==(const GatewayLoadReport &) const = default;
};

}
