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

/// What a pool's endpoints should be, from the table.
struct DesiredPool {
    std::string version;
    std::vector<std::string> adapters;

    bool operator==(const DesiredPool &) const = default;
};

/// What an endpoint is, from its agent's reports.
struct ReportedEndpoint {
    EndpointId endpoint;
    std::string version;
    std::vector<std::string> adapters;
    bool isEligible = true;
    /// An order is being carried out, whoever gave it.
    bool isChanging = false;

    bool operator==(const ReportedEndpoint &) const = default;
};

struct OrderSettings {
    /// Loads that the weight store takes in the long run; each order that loads something counts as one.
    double loadsPerSecond = 0.2;
    /// Endpoints of a pool that change their version at once.
    std::size_t maximumChanging = 2;
    /// The part of the pool's endpoints that stays eligible during a rollout.
    double minimumEligibleShare = 0.75;
    /// An order whose effect does not show for as long is given again.
    Duration orderTimeout = std::chrono::minutes(5);
    /// An endpoint that refused an order gets none for as long.
    Duration retryAfter = std::chrono::seconds(10);
};

/// Decides which orders the holder of a pool's lease gives next, from what is wanted and what is.
///
/// It compares states and remembers little, so that a new holder goes on where the last one ended. A version is rolled
/// out to a few endpoints at a time, and only while enough others are eligible. Loads are staggered: a new holder
/// begins with no load to spare, else a lease that changes hands in a rollout would double the load on the weight
/// store.
class PoolOrderPlanner
{
public:
    PoolOrderPlanner(PoolId pool, Instant now, OrderSettings settings = {});

    void setDesired(const DesiredPool &wanted);
    void applyReported(const ReportedEndpoint &endpoint);
    void removeEndpoint(const EndpointId &endpoint);

    /// The orders to be sent now under this fence. At most one to each endpoint at a time.
    std::vector<EndpointOrder> nextOrders(std::uint64_t fence, Instant now);

    /// The agent or the engine refused the order, or could not be reached.
    void noteFailed(const EndpointId &endpoint, Instant now);

    /// Whether every endpoint is as wanted.
    bool isDone() const;

private:
    struct Target {
        ReportedEndpoint reported;
        /// The order under way, with no number when there is none.
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
