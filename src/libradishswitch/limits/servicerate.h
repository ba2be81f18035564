#pragma once

#include "base/timerservice.h"

#include <deque>
#include <optional>

namespace RadishSwitch
{

/// Measures how fast a queue is served while there is something to serve.
///
/// Looks back over at least a few seconds and a few services, since a pool of long runs frees a slot only now and then;
/// and no further than a minute.
class ServiceRate
{
public:
    /// Moves time on; `isBusy` tells whether something was waiting since the last call.
    void advance(bool isBusy, Instant now);

    void noteServed(double cost);

    /// Cost a second, with one more service of `typicalCost` counted than was seen: a queue that was not served at all
    /// for a while has a low rate, but not none. Nothing until enough was seen.
    std::optional<double> perSecond(double typicalCost) const;

private:
    struct Service {
        Duration at;
        double cost;
    };

    void dropOldServices();

    /// Counts busy time only.
    Duration m_busyTime{};
    Duration m_windowBegin{};
    std::deque<Service> m_services;
    double m_cost = 0;
    Instant m_advancedAt{};
};

}
