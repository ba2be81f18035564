#pragma once

#include "base/randomsource.h"
#include "base/timerservice.h"
#include "metrics.h"
#include "serving/rotationpolicy.h"

#include <functional>
#include <vector>

namespace RadishSwitch
{

/// Where a gateway learns how full it is, and how full the gateways of its zone are.
struct RotationInputs {
    /// Fullness of the gateway, 1 when it has no capacity left.
    std::function<double(Instant)> fullness;
    /// Recent reports of the zone's gateways; empty if unknown.
    std::function<std::vector<GatewayLoadReport>(Instant)> neighbours;
};

/// Asks a rotation policy at a fixed interval, logs what it decides, and counts it.
class GatewayRotation
{
public:
    /// `onAwayChanged` is called whenever the value of `isAway` changes.
    GatewayRotation(TimerService &timers, RandomSource &random, Metrics &metrics, RotationSettings settings,
                    RotationInputs inputs, std::function<void()> onAwayChanged);
    ~GatewayRotation();

    GatewayRotation(const GatewayRotation &) = delete;
    GatewayRotation &operator=(const GatewayRotation &) = delete;

    /// A request was refused for lack of processor time or link capacity.
    void noteRefused(RotationReason reason);

    bool isAway() const
    {
        return m_isAway;
    }

    /// Whether a kept connection, which is asked about once a second, is to be closed after its present answer.
    bool closesConnection();

    /// The fullness to report to other gateways.
    double fullness() const
    {
        return m_policy.fullness(m_timers.now());
    }

private:
    void update();
    void noteLeft(Instant now);
    void noteReturned(Instant now);

    TimerService &m_timers;
    RandomSource &m_random;
    Metrics &m_metrics;
    Gauge &m_fullnessGauge;
    const RotationInputs m_inputs;
    const std::function<void()> m_onAwayChanged;
    RotationPolicy m_policy;
    bool m_isAway = false;
    TimerId m_timer = 0;
};

}
