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
constexpr char kOverloaded[] = "this instance is overloaded";

}

CallIntake::CallIntake(WorkerPool &workers, TimerService &timers, const CallProtocol &protocol, CallMetrics &metrics,
                       LogSampler &sampler, LinkShedder &link, IntakeBudget &budget, LoadShedderSettings settings,
                       std::function<void()> onAwayChanged)
    : m_workers(workers)
    , m_timers(timers)
    , m_protocol(protocol)
    , m_metrics(metrics)
    , m_sampler(sampler)
    , m_link(link)
    , m_budget(budget)
    , m_settings(settings)
    , m_shedder(settings)
    , m_onAwayChanged(std::move(onAwayChanged))
    , m_refusal(protocol.failure(makeFailure(FailureCode::Overloaded, kOverloaded, kRetryAfter)))
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

void CallIntake::setTable(ServingTablePointer table)
{
    m_table = std::move(table);
}

bool CallIntake::isRefusing(const HttpRequest &head)
{
    if (m_isStopped) {
        return true;
    }
    m_reason = reasonToRefuse(head, m_timers.now());
    return m_reason.has_value();
}

std::optional<RefusalReason> CallIntake::reasonToRefuse(const HttpRequest &head, Instant now)
{
    if (m_isProbePending) {
        m_shedder.noteOverdue(now - m_probeStartedAt, now);
    } else {
        startProbe(now);
    }
    if (m_link.isShedding(now)) {
        return RefusalReason::LinkDelay;
    }
    if (m_shedder.isShedding(now)) {
        return RefusalReason::Processor;
    }
    return m_budget.isActive() ? m_budget.refusalOf(intakeRequest(head), now) : std::nullopt;
}

// The organisation of an unknown key is the empty one, so that invented keys share one part of the link.
IntakeRequest CallIntake::intakeRequest(const HttpRequest &head) const
{
    const CallHead call = m_protocol.readHead(head);
    const ServedOrganisation *organisation = m_table ? m_table->organisationOfKey(call.apiKey) : nullptr;
    return {organisation ? organisation->name : OrganisationId(), call.declaredLength.value_or(0)};
}

void CallIntake::noteCutOff(std::int64_t unread, Duration age)
{
    m_budget.noteCutOff(unread, age, m_timers.now());
}

double CallIntake::fullness(Instant now)
{
    return std::max(m_budget.linkUse(now), processorFullness(now));
}

double CallIntake::processorFullness(Instant now) const
{
    const bool isValid = now - m_measuredAt < m_settings.measurementLifetime;
    const Duration measured = isValid ? m_queueDelay : Duration::zero();
    const Duration pending = m_isProbePending ? now - m_probeStartedAt : Duration::zero();
    // The target may be set to zero.
    const Duration target = std::max(m_settings.target, Duration(1));
    return std::chrono::duration<double>(std::max(measured, pending)) / std::chrono::duration<double>(target);
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
        m_measuredAt = now;
        m_queueDelay = now - m_probeStartedAt;
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
    const RefusalReason reason = m_reason.value_or(RefusalReason::Processor);
    // A link that has no room by counted bytes is as full as one that is late.
    reason == RefusalReason::Processor ? m_shedder.noteRefused(now) : m_link.noteRefused(now);
    m_metrics.noteRefusedUnread(reason);
    const RequestId call = m_protocol.callId(request);
    if (m_sampler.shouldLog(call, now)) {
        kLog.warning("call refused because of overload",
                     {field("call", call.value()), field("delay", m_queueDelay),
                      field("reason", std::string(refusalReasonName(reason)))});
    }
    if (m_rotation) {
        m_rotation->noteRefused(reason == RefusalReason::Processor ? RotationReason::Processor : RotationReason::Link);
    } else {
        updateAway();
    }
    return refusal(reason, now);
}

HttpResponse CallIntake::refusal(RefusalReason reason, Instant now)
{
    const bool isByBytes = reason == RefusalReason::LinkBytes || reason == RefusalReason::Share;
    if (!isByBytes) {
        return m_refusal;
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(m_budget.retryAfter(now));
    return m_protocol.failure(makeFailure(FailureCode::Overloaded, kOverloaded, wait));
}

bool CallIntake::closesAfterAnswer()
{
    return m_rotation && m_rotation->closesConnection();
}

void CallIntake::setRotation(std::unique_ptr<GatewayRotation> rotation)
{
    m_rotation = std::move(rotation);
}

void CallIntake::updateAway()
{
    const Instant now = m_timers.now();
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
