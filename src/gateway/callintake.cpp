#include "callintake.h"

#include "base/failure.h"
#include "log.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("intake");

/// The retry normally reaches another instance that has capacity, so that a long wait is not needed. The short wait
/// spreads out a crowd of callers.
constexpr std::chrono::milliseconds kRetryAfter{20};

}

CallIntake::CallIntake(WorkerPool &workers, TimerService &timers, const CallProtocol &protocol, CallMetrics &metrics,
                       LogSampler &sampler, LinkShedder &link, LoadShedderSettings settings,
                       std::function<void()> onAwayChanged)
    : m_workers(workers)
    , m_timers(timers)
    , m_protocol(protocol)
    , m_metrics(metrics)
    , m_sampler(sampler)
    , m_link(link)
    , m_settings(settings)
    , m_shedder(settings)
    , m_onAwayChanged(std::move(onAwayChanged))
    , m_refusal(protocol.failure(makeFailure(FailureCode::Overloaded, "this instance is overloaded", kRetryAfter)))
    , m_stopRefusal(protocol.failure(makeFailure(FailureCode::Draining, "this instance is shutting down", kRetryAfter)))
{
}

CallIntake::~CallIntake()
{
    m_timers.cancel(m_timer);
}

void CallIntake::stop()
{
    m_isStopped = true;
}

bool CallIntake::isRefusing()
{
    if (m_isStopped) {
        return true;
    }
    const Instant now = m_timers.now();
    if (m_isProbePending) {
        m_shedder.noteOverdue(now - m_probeStartedAt, now);
    } else {
        startProbe(now);
    }
    return m_shedder.isShedding(now) || m_link.isShedding(now);
}

void CallIntake::startProbe(Instant now)
{
    m_isProbePending = true;
    m_probeStartedAt = now;
    m_workers.post([this, alive = std::weak_ptr<int>(m_alive)] {
        if (alive.expired()) {
            return;
        }
        const Instant now = m_timers.now();
        m_isProbePending = false;
        m_queueDelay = now - m_probeStartedAt;
        m_queueDelayMeasuredAt = now;
        m_shedder.noteDelay(m_queueDelay, now);
    });
}

HttpResponse CallIntake::refuse(const HttpRequest &request)
{
    const Instant now = m_timers.now();
    if (m_isStopped) {
        kLog.info("call refused during shutdown", {field("call", m_protocol.callId(request).value())});
        return m_stopRefusal;
    }
    const bool isLinkFull = m_link.isShedding(now);
    isLinkFull ? m_link.noteRefused(now) : m_shedder.noteRefused(now);
    m_metrics.noteRefusedUnread();
    const RequestId call = m_protocol.callId(request);
    if (m_sampler.shouldLog(call, now)) {
        kLog.warning("call refused because of overload",
                     {field("call", call.value()), field("delay", m_queueDelay), field("link_full", isLinkFull)});
    }
    updateAway();
    return m_refusal;
}

bool CallIntake::closesAfterAnswer()
{
    return m_rotation && m_rotation->closesConnection();
}

void CallIntake::setRotation(std::unique_ptr<GatewayRotation> rotation)
{
    m_rotation = std::move(rotation);
}

double CallIntake::processorFullness(Instant now) const
{
    const bool isValid = now - m_queueDelayMeasuredAt < m_settings.measurementLifetime;
    const Duration measured = isValid ? m_queueDelay : Duration::zero();
    const Duration pending = m_isProbePending ? now - m_probeStartedAt : Duration::zero();
    // The target may be set to zero.
    const Duration target = std::max(m_settings.target, Duration(1));
    return std::chrono::duration<double>(std::max(measured, pending)) / std::chrono::duration<double>(target);
}

void CallIntake::updateAway()
{
    const Instant now = m_timers.now();
    if (m_rotation) {
        m_rotation->noteRefused(m_link.isShedding(now) ? RotationReason::Link : RotationReason::Processor);
        return;
    }
    const bool isDiverting = m_shedder.isDiverting(now) || m_link.isDiverting(now);
    if (isDiverting && m_timer == 0) {
        m_timer = m_timers.after(m_settings.divertFor, [this] {
            m_timer = 0;
            updateAway();
        });
    }
    if (std::exchange(m_isDiverting, isDiverting) != isDiverting) {
        kLog.warning(isDiverting ? "overloaded, reporting not ready to the load balancer"
                                 : "no longer overloaded, reporting ready again",
                     {field("delay", m_queueDelay)});
        m_onAwayChanged();
    }
}

}
