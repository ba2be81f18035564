#pragma once

#include "answermemory.h"
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
#include "serving/streamorigins.h"
#include "writerprobe.h"

#include <map>

namespace RadishSwitch
{

/// The timeouts, waits and latency factors by which calls are served.
struct CallTimes {
    /// Subtracted from the timeout that the caller states, for the transfer of the call and of the answer.
    Duration networkAllowance = std::chrono::milliseconds(5);
    /// Callers disconnect from a stream without a first event after the longest of three times: this minimum, the
    /// route's target latency times the latency factor, and the route's target gap between events times the gap factor.
    Duration minimumStreamPatience = std::chrono::seconds(2);
    double streamPatienceLatencyFactor = 4;
    double streamPatienceGapFactor = 8;
    /// The gateway refuses such a stream this long before its caller would disconnect. A disconnect that comes first
    /// is noticed late by a stalled endpoint, which then goes on working for nobody.
    Duration streamPatienceMargin = std::chrono::milliseconds(40);
    /// If the answer of a repeatable call is later than expected by this many times the route's target latency, the
    /// gateway looks for another endpoint.
    double lateAnswerLatencyFactor = 2;
    /// If a resumable stream has had no event for this long, the gateway looks for another endpoint. Callers give up
    /// after two seconds without an event.
    Duration eventSilenceTimeout = std::chrono::milliseconds(1200);
    /// How often the gateway looks again for another endpoint while none is available and the first stays silent.
    Duration successorRetryInterval = std::chrono::milliseconds(300);
    /// How long two endpoints may run the same unstreamed call after the first was silent. A full endpoint refuses
    /// within a few milliseconds; a longer overlap would waste the work of one of them.
    Duration maximumOverlap = std::chrono::milliseconds(200);
    /// How often the gateway checks the first endpoint for an answer while it waits for the second.
    Duration successorPollInterval = std::chrono::milliseconds(50);
    /// Maximum idle time of a connection that is used for a call which cannot be repeated. If the endpoint closes the
    /// idle connection while the call is being sent, the outcome of the call is unknown.
    Duration maximumIdleUnrepeatable = std::chrono::milliseconds(1500);
    /// Maximum idle time of a connection that is used for a repeatable call.
    Duration maximumIdle = std::chrono::seconds(60);
    /// How long the gateway waits for the body of an endpoint's refusal.
    Duration refusalBodyTimeout = std::chrono::milliseconds(200);
    /// Maximum time of a call in the queue, as a multiple of the route's target latency.
    double queueLatencyFactor = 1.5;
    /// An unstreamed answer is considered late if its endpoint takes longer than this share of the target latency. The
    /// remaining share is for the network and for the queue.
    double lateAnswerShare = 0.7;
    /// An endpoint that has been writing an answer for this long does not crash because it began to.
    Duration soundAnswerTime = std::chrono::milliseconds(300);
    /// Deadline of a call until the timeouts of its caller and its route have been read.
    Duration defaultCallTimeout = std::chrono::seconds(30);
};

/// The components that all calls of a gateway share. They are used on one worker only.
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
    /// Limits the log lines about failed calls and failed attempts.
    LogSampler &failureSampler;
    LinkShedder &link;
    PoisonGuard &poison;
    LimitReports &limits;
    StreamOrigins &streamOrigins;
    WriterProbe &writers;
    AnswerMemory &answers;

    RetryBudget &retryBudget(const PoolId &pool)
    {
        return retryBudgets.try_emplace(pool, random, retrySettings).first->second;
    }
};

}
