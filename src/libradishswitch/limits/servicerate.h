#pragma once

#include "base/timerservice.h"

#include <deque>
#include <optional>

namespace RadishSwitch
{

/// Measures the rate at which a queue is served while requests wait in it.
///
/// The measurement covers at least a few seconds and a few services, since a pool with long runs rarely frees a slot,
/// but never more than a minute.
class ServiceRate
{
public:
    /// Advances the time. `isBusy` tells whether requests have been waiting since the last call.
    void advance(bool isBusy, Instant now);

    void noteServed(double cost);

    /// Cost per second, counting one service of `typicalCost` more than was measured, so that a queue that was not
    /// served for a while has a low rate and not zero. No value until the measured time is long enough.
    std::optional<double> perSecond(double typicalCost) const;

private:
    struct Service {
        Duration at;
        double cost;
    };

    void dropOldServices();

    /// Time during which requests waited.
    Duration m_busyTime{};
    Duration m_windowBegin{};
    std::deque<Service> m_services;
    double m_cost = 0;
    Instant m_advancedAt{};
};

}
