#pragma once

#include "base/timerservice.h"
#include "base/tokenbucket.h"
#include "routing/endpointorder.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// The desired state of the endpoints of a pool, from the configuration table. An empty version stands for any.
struct DesiredPool {
    std::string version;
    std::vector<std::string> adapters;

    bool operator==(const DesiredPool &) const = default;
};

/// The actual state of an endpoint, from its agent's reports.
struct ReportedEndpoint {
    EndpointId endpoint;
    std::string version;
    std::vector<std::string> adapters;
    bool isEligible = true;
    /// The endpoint is carrying out an order, no matter which lease holder sent it.
    bool isChanging = false;

    bool operator==(const ReportedEndpoint &) const = default;
};

struct OrderSettings {
    /// How many loads per second the store of model weights sustains. Each order that loads a version or an adapter
    /// counts as one load.
    double loadsPerSecond = 0.2;
    /// How many endpoints of a pool may change their version at the same time.
    std::size_t maximumChanging = 2;
    /// During a rollout at least this share of the pool's endpoints stays eligible.
    double minimumEligibleShare = 0.75;
    /// An order is sent again when the agent's reports do not show its effect within this time.
    Duration orderTimeout = std::chrono::minutes(5);
    /// An endpoint that refused an order or could not be reached gets no order for this long.
    Duration retryAfter = std::chrono::seconds(10);
};

/// Decides which orders the holder of a pool's lease sends next, by comparing the desired state of the pool with the
/// reported one.
///
/// The planner keeps little state of its own, so that a new lease holder can continue where the last one stopped. A
/// version is rolled out to a few endpoints at a time, and only while enough others are eligible. Loads are rate
/// limited, and the limiter of a new lease holder starts empty: otherwise a change of the holder during a rollout would
/// double the load on the store of model weights.
class PoolOrderPlanner
{
public:
    PoolOrderPlanner(PoolId pool, Instant now, OrderSettings settings = {});

    void setDesired(const DesiredPool &wanted);
    void applyReported(const ReportedEndpoint &endpoint);
    void removeEndpoint(const EndpointId &endpoint);

    /// Returns the orders to be sent now, with the fencing number `fence`. An endpoint has at most one order under way.
    std::vector<EndpointOrder> nextOrders(std::uint64_t fence, Instant now);

    /// The agent or the engine refused the order, or could not be reached.
    void noteFailed(const EndpointId &endpoint, Instant now);

    /// Whether every endpoint is in the desired state.
    bool isDone() const;

private:
    struct Target {
        ReportedEndpoint reported;
        /// The order under way. Its number is zero when there is none.
        EndpointOrder order;
        Instant orderedAt{};
        Instant notBefore{};
    };

    struct NextChange {
        OrderKind kind = OrderKind::SetVersion;
        std::string name;
    };

    std::optional<NextChange> nextChangeFor(const ReportedEndpoint &endpoint) const;
    bool isUnderWay(const Target &target, Instant now) const;
    bool isChanging(const Target &target, Instant now) const;
    bool canChangeVersion(const Target &target, Instant now) const;
    static bool isLoad(OrderKind kind);

    const PoolId m_pool;
    const OrderSettings m_settings;
    DesiredPool m_desired;
    std::map<EndpointId, Target> m_targets;
    TokenBucket m_loads;
    std::uint64_t m_lastNumber = 0;
};

}
