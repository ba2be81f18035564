#pragma once

#include "routing/endpointreport.h"

#include <cstdint>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// Index of an endpoint in the directory. The indexes are small and dense; the index of a removed endpoint is reused.
using EndpointSlot = std::uint32_t;

/// Whether an endpoint may get new work, and the reason if it may not.
enum class EndpointStatus {
    Eligible,
    NeverReported,
    Silent,
    ConnectionLost,
    Leaving,
    Unhealthy,
};

/// Everything that this process knows about one endpoint, from its agent's reports, from the time since the last
/// report, and from the platform's list.
struct EndpointState {
    EndpointId endpoint;
    /// Hash of the endpoint's name for rendezvous hashing.
    std::uint64_t hash = 0;
    IncarnationId incarnation;
    /// Earlier incarnations of the endpoint, the latest last. Reports of these that arrive late are ignored.
    std::vector<IncarnationId> pastIncarnations;
    std::uint64_t sequence = 0;
    PoolId pool;
    std::string address;
    std::string zone;
    std::string region;
    SoftwareVersion softwareVersion;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    EndpointLoad load;
    /// When the load was measured, by this process's clock.
    Instant loadMeasuredAt{};
    Instant firstReportAt{};
    /// The latest time at which this incarnation of the agent can have started, by this process's clock. It is later
    /// than the true start by the time that the report took to arrive.
    Instant startedAtLatest{};
    Instant lastReportAt{};
    bool hasReported = false;
    bool isHealthy = true;
    bool isConnectionLost = false;
    bool isListed = false;
    bool isLeavingByAgent = false;
    bool isLeavingByList = false;
    /// Whether the list last showed the endpoint as leaving, even when the directory ignored that.
    bool isListedAsLeaving = false;
};

}
