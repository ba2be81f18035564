#include "gatewayrotation.h"

#include "log.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("intake");

/// Short compared with the time of refusals after which a gateway leaves.
constexpr Duration kUpdateInterval = std::chrono::milliseconds(100);

}

GatewayRotation::GatewayRotation(TimerService &timers, RandomSource &random, Metrics &metrics,
                                 RotationSettings settings, RotationInputs inputs, std::function<void()> onAwayChanged)
    : m_timers(timers)
    , m_random(random)
    , m_metrics(metrics)
    , m_fullnessGauge(metrics.gauge("radishswitch_gateway_fullness",
                                    "Used share of the gateway's scarcest resource, above 1 if it is overloaded"))
    , m_inputs(std::move(inputs))
    , m_onAwayChanged(std::move(onAwayChanged))
    , m_policy(random, std::move(settings))
    , m_timer(timers.every(kUpdateInterval, [this] {
        update();
    }))
{
}

GatewayRotation::~GatewayRotation()
{
    m_timers.cancel(m_timer);
}

// The decision is left to the next update, so that a refusal costs no look at the neighbours.
void GatewayRotation::noteRefused(RotationReason reason)
{
    m_policy.noteRefused(reason, m_timers.now());
}

bool GatewayRotation::closesConnection()
{
    const double share = m_policy.closingShare(m_timers.now());
    return share > 0 && m_random.fraction() < share;
}

void GatewayRotation::update()
{
    const Instant now = m_timers.now();
    m_policy.noteFullness(m_inputs.fullness(now), now);
    m_fullnessGauge.set(m_policy.fullness(now));
    m_policy.update(m_policy.needsReports(now) ? m_inputs.neighbours(now) : std::vector<GatewayLoadReport>(), now);
    const bool isAway = m_policy.isAway(now);
    if (std::exchange(m_isAway, isAway) == isAway) {
        return;
    }
    isAway ? noteLeft(now) : noteReturned(now);
    m_onAwayChanged();
}

void GatewayRotation::noteLeft(Instant now)
{
    const std::string reason(rotationReasonName(m_policy.reason()));
    kLog.warning("leaving the rotation, reporting not ready to the load balancer",
                 {field("reason", reason), field("away", m_policy.awayUntil() - now),
                  field("fullness", m_policy.fullness(now)), field("neighbours", m_policy.knownNeighbours())});
    m_metrics
        .counter("radishswitch_rotation_left_total", "Times that the gateway left the load balancer's rotation",
                 {{"reason", reason}})
        .add();
}

void GatewayRotation::noteReturned(Instant now)
{
    kLog.warning("returning to the rotation, reporting ready again",
                 {field("reason", rotationReasonName(m_policy.reason())), field("away", now - m_policy.awaySince()),
                  field("fullness", m_policy.fullness(now)), field("neighbours", m_policy.knownNeighbours())});
}

}
