#pragma once

#include "routing/endpointreport.h"

#include <cstdint>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// Where the directory keeps an endpoint: small, dense numbers, used again once an endpoint is forgotten.
using EndpointSlot = std::uint32_t;

/// Whether an endpoint may get new work, and if not, why.
enum class EndpointStatus {
    Eligible,
    NeverReported,
    Silent,
    ConnectionLost,
    Leaving,
    Unhealthy,
};

/// What is known of one endpoint from its agent, from its silence and from the platform's list.
struct EndpointState {
    EndpointId endpoint;
    /// By which it takes part in rendezvous hashing.
    std::uint64_t hash = 0;
    IncarnationId incarnation;
    /// Earlier lives of the endpoint, the latest last, whose late reports are ignored.
    std::vector<IncarnationId> pastIncarnations;
    std::uint64_t sequence = 0;
    PoolId pool;
    std::string address;
    std::string zone;
    std::string region;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    EndpointLoad load;
    /// The moment at which the load was measured, by this process's clock.
    Instant loadMeasuredAt{};
    Instant firstReportAt{};
    /// Not before this life of the agent started, by this process's clock; the report's way here makes it later.
    Instant startedAtLatest{};
    Instant lastReportAt{};
    bool hasReported = false;
    bool isHealthy = true;
    bool isConnectionLost = false;
    bool isListed = false;
    bool isLeavingByAgent = false;
    bool isLeavingByList = false;
    /// The list's last word, also when it is not believed.
    bool isListedAsLeaving = false;
};

}
