#pragma once

#include "base/objectstore.h"
#include "base/randomsource.h"
#include "serving/callgate.h"
#include "serving/objectlistener.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace RadishSwitch
{

/// Key prefix of the limits that endpoints announce. There is one object for each endpoint that has a limit.
inline constexpr char kLimitPrefix[] = "news/limit.";

/// Shares the call limits that endpoints announce among the gateways, and passes them to the call gate.
///
/// Each gateway has a share of the calls that a limited endpoint accepts, and for many gateways that share is zero.
/// Those receive no answers from the endpoint, and would otherwise not learn that the limit has ended.
class LimitReports : public ObjectListener
{
public:
    LimitReports(ObjectStore &store, TimerService &timers, RandomSource &random, CallGate &gate);

    /// Notes the limit in an endpoint's answer, in calls per second from all gateways together; empty for no limit.
    void noteLimit(const EndpointId &endpoint, std::optional<double> callsPerSecond);

    /// Removes limits from the store that no gateway has seen in an answer for a long time.
    void removeExpired();

    void objectsListed(const std::vector<StoredObject> &objects) override;
    void objectsChanged(const std::vector<StoredObject> &objects) override;

private:
    struct Published {
        double callsPerSecond = 0;
        std::uint64_t version = 0;
        Instant at{};
    };

    bool isWorthReporting(const EndpointId &endpoint, std::optional<double> callsPerSecond) const;
    void flush(const EndpointId &endpoint);
    void publish(const EndpointId &endpoint, double callsPerSecond);
    void withdraw(const EndpointId &endpoint, const Published &published);
    void applyObject(const StoredObject &object);
    void forget(const EndpointId &endpoint);

    ObjectStore &m_store;
    TimerService &m_timers;
    RandomSource &m_random;
    CallGate &m_gate;
    std::map<EndpointId, Published> m_published;
    /// Limits that are about to be written to the store; empty for a limit that has ended.
    std::map<EndpointId, std::optional<double>> m_pending;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
