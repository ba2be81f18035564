#pragma once

#include "limits/fairqueue.h"
#include "serving/callplacement.h"
#include "serving/endpointloads.h"
#include "serving/endpointnotice.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <string>

namespace RadishSwitch
{

struct CallGateSettings {
    FairQueueSettings queue;
    /// Interval at which the queues are checked while calls wait: calls whose deadline can't be met any more are
    /// refused, and endpoints that have become usable by time alone get calls.
    Duration expiryInterval = std::chrono::milliseconds(50);
    /// Retry-after when no endpoint of the pool takes calls: the platform's list of endpoints usually settles within
    /// that time. Also used when no other endpoint has room for a further attempt.
    std::chrono::milliseconds noEndpointRetryAfter{500};
    /// Retry-after when only this gateway's share of the calls to cold endpoints is used up. It is short since the
    /// retry reaches another gateway, which has a share of its own.
    std::chrono::milliseconds coldRetryAfter{30};
    /// Retry-after when a call is shed because all endpoints answer late. Their queues have drained by then.
    std::chrono::milliseconds overloadRetryAfter{250};
    /// Calls are never shed because endpoints answer late.
    bool ignoresPressure = false;
    PlacementSettings placement;
    EndpointRegistrySettings registry;
    AllowanceSettings allowances;
};

/// Dispatches calls to endpoints: at once while an endpoint has room, otherwise in the order of a fair queue. A call
/// whose turn would come after its deadline is refused at once.
///
/// Single-threaded. Callbacks run inside `place`, `cancel`, `noteNotice`, `noteEnded`, `noteRegistryChanged`, the
/// methods for zones, and timer events.
class CallGate
{
public:
    using Callback = std::function<void(absl::StatusOr<Placement>)>;

    /// `self` is the name under which this process is listed among the gateways.
    CallGate(TimerService &timers, RandomSource &random, std::string self, std::string ownZone,
             CallGateSettings settings = {});
    ~CallGate();

    CallGate(const CallGate &) = delete;
    CallGate &operator=(const CallGate &) = delete;

    EndpointRegistry &registry()
    {
        return m_registry;
    }

    const EndpointRegistry &registry() const
    {
        return m_registry;
    }

    /// The reported load of the endpoints. The news of an endpoint that leaves the registry are discarded.
    EndpointLoads &loads()
    {
        return m_loads;
    }

    CallAllowances &allowances()
    {
        return m_allowances;
    }

    /// See CallPlacement::setLoadSource.
    void setLoadSource(const EndpointLoadSource *source)
    {
        m_placement.setLoadSource(source);
    }

    /// Replaces the list of zones that operators have closed. Endpoints in closed zones get no new calls.
    void setClosedZones(const std::vector<std::string> &zones);
    void closeZone(const std::string &zone);
    void openZone(const std::string &zone);

    /// Places a call at once or after it has waited in the queue. The caller must end each placed call with
    /// `noteEnded`. Errors are NoEndpoint and Overloaded, both with a retry-after; in both cases nothing was sent.
    void place(const PlacementQuery &query, Callback callback);

    /// The caller of a call has disconnected. A call that still waits ends with ConnectionLost.
    void cancel(const RequestId &call, const PoolId &pool);

    /// The first part of the answer has arrived.
    void noteFirstAnswer(PlacementId placement);

    /// The endpoint has sent nothing for too long, but the run is kept. This counts as one failure of the endpoint,
    /// however often it is called: new calls should avoid an endpoint that has stopped answering even while its runs
    /// are still waited for.
    void noteSilent(PlacementId placement);

    /// Applies what the endpoint reported about itself in the answer to a call. An answer without a limit does not end
    /// a limit that was reported after the call had been sent.
    NoticeChanges noteNotice(PlacementId placement, const EndpointNotice &notice);

    /// Whether the incarnation that a call was placed at is still the endpoint's current one.
    bool isAtCurrentIncarnation(PlacementId placement) const;

    /// Whether a placed call may still be sent. It may not once its endpoint has asked for backoff, is leaving, or was
    /// closed since.
    bool mayStillBeSent(PlacementId placement) const;

    /// The software version that wrote what came from a placement until now; empty if the endpoint has been restarted
    /// since, so that either incarnation may have written it.
    SoftwareVersion writerVersion(const Placement &placement) const;

    /// Time until the first endpoint open to such calls ends its backoff, in milliseconds; nullopt if at least one of
    /// them is not in backoff.
    std::optional<std::chrono::milliseconds> untilBackoffEnds(const PlacementQuery &query) const;

    /// Applies an announced limit, or the end of one, that another gateway has received.
    void setAnnouncedLimit(const EndpointId &endpoint, std::optional<double> callsPerSecond);

    /// Another endpoint answered at the address of the endpoint that was chosen.
    void noteWrongEndpoint(PlacementId placement);

    /// The process of this incarnation has ended. Its entry in the platform's list may remain for seconds. The start of
    /// the next one is given if that serves already.
    void noteCrashed(const EndpointIncarnation &incarnation,
                     std::optional<std::int64_t> nextStartMilliseconds = std::nullopt);

    /// Called for an endpoint whose incarnation has ended before its entry showed it. Connections to it are unusable.
    void setIncarnationEndedCallback(std::function<void(const EndpointId &)> callback);

    /// The attempt is over. Waiting calls may take the room that it leaves.
    void noteEnded(PlacementId placement, RunEnd end);

    /// The list of endpoints or of closed zones has changed. Waiting calls are placed where that made room.
    void noteRegistryChanged();

    std::size_t waiting() const;

    std::size_t placed() const
    {
        return m_placed.size();
    }

private:
    struct WaitingCall {
        PlacementQuery query;
        Callback callback;
    };

    struct PlacedCall {
        EndpointSlot slot = 0;
        PoolId pool;
        std::int64_t prefillTokens = 0;
        Instant at{};
        /// See PlacementQuery::lateAfter.
        Duration lateAfter{};
        bool isAnswered = false;
        bool isSilent = false;
    };

    absl::Status refusalWithoutOpenEndpoint(const PlacementQuery &query) const;
    absl::Status refusalFor(const PlacementQuery &query, const absl::Status &status) const;
    void noteStart(EndpointSlot slot, std::int64_t startedAtMilliseconds, Instant measuredAt);
    void handleIncarnationEnded(EndpointSlot next);
    bool noteAnnouncedLimit(const PlacedCall &placed, std::optional<double> callsPerSecond);
    void refuseWaitingIfAllBackedOff(PoolId pool);
    std::optional<absl::Status> refusalIfAllBackedOff(const PlacementQuery &query) const;
    void markCold(const std::vector<EndpointSlot> &slots);
    bool shouldShed(const PlacementQuery &query);
    void noteOverload(const PlacedCall &placed, RunEnd end);
    bool tryPlace(const PlacementQuery &query, Callback &callback);
    void wait(const PlacementQuery &query, Callback callback);
    void admitWaiting(const PoolId &pool);
    void expire();
    void refuse(const std::vector<QueueRefusal> &refusals);
    void scheduleExpiry();
    static QueuedRequest queuedRequest(const PlacementQuery &query);

    TimerService &m_timers;
    RandomSource &m_random;
    const CallGateSettings m_settings;
    CallAllowances m_allowances;
    EndpointRegistry m_registry;
    EndpointLoads m_loads;
    EndpointAdmission m_admission;
    CallPlacement m_placement;
    std::map<PoolId, FairQueue> m_queues;
    absl::flat_hash_map<RequestId, WaitingCall> m_waiting;
    absl::flat_hash_map<PlacementId, PlacedCall> m_placed;
    PlacementId m_lastPlacement = 0;
    TimerId m_timer = 0;
    std::function<void(const EndpointId &)> m_onIncarnationEnded;
};

}
