#pragma once

#include "limits/fairqueue.h"
#include "serving/callplacement.h"
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
    /// How often those that wait are looked at, for answers that have become due.
    Duration expiryInterval = std::chrono::milliseconds(50);
    /// When to come back where a pool has no endpoint at all: a platform's list settles in about that time.
    std::chrono::milliseconds noEndpointRetryAfter{500};
    /// When to come back where only this gateway's part of what cold endpoints bear is used up: the next try goes to
    /// another gateway, which has its own.
    std::chrono::milliseconds coldRetryAfter{30};
    /// When to come back where all endpoints answer late: their queues have drained by then.
    std::chrono::milliseconds overloadRetryAfter{250};
    /// Calls are sent also where endpoints answer late already.
    bool ignoresPressure = false;
    PlacementSettings placement;
    EndpointRegistrySettings registry;
    AllowanceSettings allowances;
};

/// Lets calls through to endpoints: at once while an endpoint has room, else in the order of a fair queue, and refuses
/// at once those whose turn would come too late.
///
/// Single-threaded. Callbacks come inside `place`, `noteNotice`, `noteEnded` and the timer's calls.
class CallGate
{
public:
    using Callback = std::function<void(absl::StatusOr<Placement>)>;

    /// `self` is this process's name among the gateways.
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

    CallAllowances &allowances()
    {
        return m_allowances;
    }

    /// Operators' orders: these zones get no new calls.
    void setClosedZones(const std::vector<std::string> &zones);
    void closeZone(const std::string &zone);
    void openZone(const std::string &zone);

    /// Places a call, now or later. Each call that is placed must end with `noteEnded`. Errors: NoEndpoint, Overloaded,
    /// both with the time to come back, and nothing was sent.
    void place(const PlacementQuery &query, Callback callback);

    /// The caller of a call is gone. If the call waits, it gets ConnectionLost.
    void cancel(const RequestId &call, const PoolId &pool);

    /// The first part of the answer came.
    void noteFirstAnswer(PlacementId placement);

    /// Nothing came from the endpoint for too long, and its run is kept all the same. Counts as a failure once: others
    /// should not be sent to an endpoint that has gone dark for as long as its runs are waited for.
    void noteSilent(PlacementId placement);

    /// What the endpoint said of itself in an answer to the call. An answer without a limit to a call that was sent
    /// before the limit was heard of does not end it.
    NoticeChanges noteNotice(PlacementId placement, const EndpointNotice &notice);

    /// Whether a call that was placed may still be sent: its endpoint may have said otherwise since.
    bool mayStillBeSent(PlacementId placement) const;

    /// How long until the first endpoint that may be sent such calls may be sent calls again; nothing where any may
    /// now.
    std::optional<std::chrono::milliseconds> untilBackoffEnds(const PlacementQuery &query) const;

    /// A limit, or its end, as another gateway has heard it.
    void setAnnouncedLimit(const EndpointId &endpoint, std::optional<double> callsPerSecond);

    /// Another endpoint answered at the address of the one that was chosen.
    void noteWrongEndpoint(PlacementId placement);

    /// The endpoint's process has ended, and its entry may stand for seconds.
    void noteCrashed(const EndpointId &endpoint);

    /// The attempt is over.
    void noteEnded(PlacementId placement, RunEnd end);

    /// The list of endpoints has changed: some that wait may go on.
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
        /// As in the query.
        Duration lateAfter{};
        bool isAnswered = false;
        bool isSilent = false;
    };

    absl::Status refusalFor(const PlacementQuery &query, const absl::Status &status) const;
    bool noteAnnouncedLimit(const PlacedCall &placed, std::optional<double> callsPerSecond);
    void refuseWaitingIfAllBackedOff(PoolId pool);
    std::optional<absl::Status> refusalIfAllBackedOff(const PlacementQuery &query) const;
    void markCold(const std::vector<EndpointSlot> &slots);
    bool shouldShed(const PlacementQuery &query);
    void notePressure(const PlacedCall &placed, RunEnd end);
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
    EndpointAdmission m_admission;
    CallPlacement m_placement;
    std::map<PoolId, FairQueue> m_queues;
    absl::flat_hash_map<RequestId, WaitingCall> m_waiting;
    absl::flat_hash_map<PlacementId, PlacedCall> m_placed;
    PlacementId m_lastPlacement = 0;
    TimerId m_timer = 0;
};

}
