#pragma once

#include "callmetrics.h"
#include "callprotocol.h"
#include "endpointconnections.h"
#include "limitreports.h"
#include "limits/linkshedder.h"
#include "limits/retrybudget.h"
#include "logsampler.h"
#include "poisonguard.h"
#include "serving/callgate.h"
#include "serving/servingtable.h"
#include "serving/sharedbudgets.h"

#include <map>

namespace RadishSwitch
{

/// How calls are served in time. Each span names the failure that it bounds.
struct CallTimes {
    /// Taken off the caller's patience: its call and our answer travel, and have to be read.
    Duration networkAllowance = std::chrono::milliseconds(5);
    /// Callers leave a stream that shows no first event for the longest of these: a time, and so many times the route's
    /// target latency and its longest pause.
    Duration minimumStreamPatience = std::chrono::seconds(2);
    double streamPatienceLatencyFactor = 4;
    double streamPatienceGapFactor = 8;
    /// So long before that they are told. One that leaves closes its connection, and an endpoint that stands still
    /// works on for nobody once it runs on.
    Duration streamPatienceMargin = std::chrono::milliseconds(40);
    /// For a call that may run again another endpoint is looked for when the first of its answer is later than expected
    /// by this many times its target latency.
    double lateAnswerLatencyFactor = 2;
    /// The same for a stream that can be continued, when its next event is missing for so long. Callers give up after
    /// two seconds.
    Duration eventSilenceTimeout = std::chrono::milliseconds(1200);
    /// How soon another endpoint is looked for again while none can be had and the first goes on saying nothing.
    Duration successorRetryInterval = std::chrono::milliseconds(300);
    /// How long two endpoints have a call whose answer comes whole, once the first was silent. A full endpoint refuses
    /// within a few milliseconds; both at work on it for longer would be wasted work.
    Duration maximumOverlap = std::chrono::milliseconds(200);
    /// How often the first is looked at while the second has not answered.
    Duration successorPollInterval = std::chrono::milliseconds(50);
    /// Connections to be used for a call that can't be sent again were idle for no longer: an endpoint that drops an
    /// idle connection at that very moment leaves the call's outcome unknown.
    Duration longestIdleOnce = std::chrono::milliseconds(1500);
    Duration maximumIdle = std::chrono::seconds(60);
    /// How long the body of a refusal may take.
    Duration refusalBodyTimeout = std::chrono::milliseconds(200);
    /// A call may wait in the queue for so many times its target latency.
    double queueLatencyFactor = 1.5;
    /// An answer that an endpoint takes longer for than this part of the target latency comes late, or nearly so: the
    /// rest is for the ways and for waiting.
    double lateAnswerShare = 0.7;
    /// Without a caller's or a route's word.
    Duration defaultCallTimeout = std::chrono::seconds(30);
};

/// What every call of a gateway is served with. All of it belongs to one worker.
struct CallServices {
    const CallProtocol &protocol;
    TimerService &timers;
    RandomSource &random;
    CallGate &gate;
    SharedBudgets &budgets;
    EndpointConnections &connections;
    std::map<PoolId, RetryBudget> &retryBudgets;
    RetrySettings retrySettings;
    CallTimes times;
    CallMetrics &metrics;
    LogSampler &sampler;
    /// Of lines of calls and attempts that failed.
    LogSampler &failureSampler;
    LinkShedder &link;
    PoisonGuard &poison;
    LimitReports &limits;

    RetryBudget &retryBudget(const PoolId &pool)
    {
        return retryBudgets.try_emplace(pool, random, retrySettings).first->second;
    }
};

}
