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

/// Keys of what endpoints say that they take, one object for each endpoint while it says so.
inline constexpr char kLimitPrefix[] = "news/limit.";

/// Tells the other gateways of limits that endpoints name, and brings theirs to the gate.
///
/// Each gateway has a part of what a limited endpoint takes, and many have none: those get no answers from it, and
/// would not hear that the limit has ended.
class LimitReports : public ObjectListener
{
public:
    LimitReports(ObjectStore &store, TimerService &timers, RandomSource &random, CallGate &gate);

    /// What an endpoint's answer said: calls a second from all callers together, or that it names no limit.
    void noteLimit(const EndpointId &endpoint, std::optional<double> callsPerSecond);

    /// Removes what nobody has heard for a long time.
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
    /// What is about to be told.
    std::map<EndpointId, std::optional<double>> m_pending;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
