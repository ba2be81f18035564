#pragma once

#include "base/timerservice.h"
#include "callmetrics.h"
#include "callprotocol.h"
#include "gatewayrotation.h"
#include "limits/intakebudget.h"
#include "limits/linkshedder.h"
#include "limits/loadshedder.h"
#include "logsampler.h"
#include "requestintake.h"
#include "serving/servingtable.h"
#include "workerpool.h"

#include <functional>
#include <memory>
#include <optional>

namespace RadishSwitch
{

/// Refuses calls while the gateway has too little processor time or link capacity for them, or is stopping, and tells
/// when the load balancer should send new callers to other instances.
///
/// The first of these reasons counts: the process is late, new connections are late, the counted bytes of the link
/// leave no room for the call or for more of its organisation.
///
/// The queueing delay of the gateway is measured by a probe task appended to the worker's queue. There is at most one
/// probe at a time, and only while calls arrive, so that an idle gateway spends no processor time on it.
class CallIntake : public RequestIntake
{
public:
    /// `onAwayChanged` is called whenever the value of `isDiverting` changes.
    CallIntake(WorkerPool &workers, TimerService &timers, const CallProtocol &protocol, CallMetrics &metrics,
               LogSampler &sampler, LinkShedder &link, IntakeBudget &budget, LoadShedderSettings settings,
               std::function<void()> onAwayChanged);
    ~CallIntake() override;

    /// Refuses every call from now on, since a call accepted now could last longer than the shutdown.
    void stop();

    /// The organisations of API keys.
    void setTable(ServingTablePointer table);

    bool isRefusing(const HttpRequest &head) override;
    HttpResponse refuse(const HttpRequest &request) override;
    bool closesAfterAnswer() override;

    /// Lets `rotation` decide when new callers should go to other instances, in place of the rule of the shedders.
    void setRotation(std::unique_ptr<GatewayRotation> rotation);
    void noteCutOff(std::int64_t unread, Duration age) override;

    /// How full the gateway is: the greater of the use of its link in the last second, relative to its bandwidth, and
    /// of the delay of the process relative to its target. Above 1 it has more work than it can do.
    double fullness(Instant now);

    /// Whether the load balancer should send new callers to other instances for now.
    bool isDiverting() const
    {
        return m_rotation ? m_rotation->isAway() : m_isDiverting;
    }

    /// The fullness that other gateways are told: at least 1 while calls are refused.
    double reportedFullness()
    {
        return m_rotation ? m_rotation->fullness() : fullness(m_timers.now());
    }

private:
    /// How late the process runs its tasks, relative to the delay at which it refuses calls.
    double processorFullness(Instant now) const;
    std::optional<RefusalReason> reasonToRefuse(const HttpRequest &head, Instant now);
    IntakeRequest intakeRequest(const HttpRequest &head) const;
    HttpResponse refusal(RefusalReason reason, Instant now);
    void startProbe(Instant now);
    /// Called with each refusal, and until the gateway is no longer away.
    void updateAway();

    WorkerPool &m_workers;
    TimerService &m_timers;
    const CallProtocol &m_protocol;
    CallMetrics &m_metrics;
    LogSampler &m_sampler;
    LinkShedder &m_link;
    IntakeBudget &m_budget;
    const LoadShedderSettings m_settings;
    LoadShedder m_shedder;
    const std::function<void()> m_onAwayChanged;
    const HttpResponse m_refusal;
    const HttpResponse m_stopRefusal;
    std::unique_ptr<GatewayRotation> m_rotation;
    ServingTablePointer m_table;
    /// Why the request about which `isRefusing` was asked last is refused; empty if it is not, or because of a
    /// shutdown.
    std::optional<RefusalReason> m_reason;
    Duration m_queueDelay{};
    Instant m_measuredAt{};
    Instant m_probeStartedAt{};
    bool m_isProbePending = false;
    bool m_isDiverting = false;
    bool m_isStopped = false;
    TimerId m_timer = 0;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
