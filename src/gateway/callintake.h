#pragma once

#include "base/timerservice.h"
#include "callmetrics.h"
#include "callprotocol.h"
#include "limits/linkshedder.h"
#include "limits/loadshedder.h"
#include "logsampler.h"
#include "requestintake.h"
#include "workerpool.h"

#include <functional>

namespace RadishSwitch
{

/// Refuses calls while the gateway has no processor time for them, no room on its link, or is about to stop, and says
/// when the balancer should know.
///
/// A gateway's delay is measured by a task that goes to the end of its worker's line: one at a time, and only while
/// calls come, so that an idle gateway spends nothing on it.
class CallIntake : public RequestIntake
{
public:
    /// `onAwayChanged` is called when `isAway` has changed.
    CallIntake(WorkerPool &workers, TimerService &timers, const CallProtocol &protocol, CallMetrics &metrics,
               LogSampler &sampler, LinkShedder &link, LoadShedderSettings settings,
               std::function<void()> onAwayChanged);
    ~CallIntake() override;

    /// From now on every call is refused: one that is taken now could last longer than the stop.
    void stop();

    bool isRefusing() override;
    HttpResponse refuse(const HttpRequest &request) override;

    /// Whether new callers should go to other instances for now.
    bool isAway() const
    {
        return m_isAway;
    }

private:
    void startProbe(Instant now);
    void updateAway();

    WorkerPool &m_workers;
    TimerService &m_timers;
    const CallProtocol &m_protocol;
    CallMetrics &m_metrics;
    LogSampler &m_sampler;
    LinkShedder &m_link;
    const LoadShedderSettings m_settings;
    LoadShedder m_shedder;
    const std::function<void()> m_onAwayChanged;
    const HttpResponse m_refusal;
    const HttpResponse m_stopRefusal;
    Duration m_queueDelay{};
    Instant m_probeStartedAt{};
    bool m_isProbePending = false;
    bool m_isAway = false;
    bool m_isStopped = false;
    TimerId m_timer = 0;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
