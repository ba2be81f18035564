#include "serving/callgate.h"

#include "base/failure.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

CallGate::CallGate(TimerService &timers, RandomSource &random, std::string self, std::string ownZone,
                   CallGateSettings settings)
    : m_timers(timers)
    , m_random(random)
    , m_settings(settings)
    , m_allowances(std::move(self), settings.allowances)
    , m_registry(settings.registry)
    , m_loads(m_registry)
    , m_admission(m_registry, m_allowances)
    , m_placement(m_registry, m_admission, random, std::move(ownZone), settings.placement)
{
    m_loads.setStartCallback([this](EndpointSlot slot, std::int64_t startedAtMilliseconds, Instant measuredAt) {
        noteStart(slot, startedAtMilliseconds, measuredAt);
    });
}

CallGate::~CallGate()
{
    m_timers.cancel(m_timer);
}

void CallGate::setClosedZones(const std::vector<std::string> &zones)
{
    markCold(m_registry.setClosedZones(zones));
    noteRegistryChanged();
}

void CallGate::closeZone(const std::string &zone)
{
    m_registry.closeZone(zone);
    noteRegistryChanged();
}

void CallGate::openZone(const std::string &zone)
{
    markCold(m_registry.openZone(zone));
    noteRegistryChanged();
}

// The endpoints of a reopened zone may have become cold while it was closed, and their entries report it only seconds
// later. Until then all gateways would send them full load at once, so they are treated as cold.
void CallGate::markCold(const std::vector<EndpointSlot> &slots)
{
    for (const EndpointSlot slot : slots) {
        m_registry.extendCold(slot, m_timers.now() + m_allowances.coldStartDuration(m_registry.at(slot).listing.pool));
    }
}

// After a power loss one gateway may serve half of a zone's callers. All endpoints are cold, and the other gateways
// have unused shares, so a caller that retries soon is likely to reach one of them.
absl::Status CallGate::refusalFor(const PlacementQuery &query, const absl::Status &status) const
{
    if (!m_placement.isLimitedByAllowances(query, m_timers.now())) {
        return status;
    }
    return makeFailure(FailureCode::Overloaded, "this gateway's share of calls to cold or limited endpoints is used up",
                       m_settings.coldRetryAfter);
}

void CallGate::place(const PlacementQuery &query, Callback callback)
{
    if (shouldShed(query)) {
        return callback(makeFailure(FailureCode::Overloaded,
                                    "all endpoints of pool " + query.pool.value() + " answer late",
                                    m_settings.overloadRetryAfter));
    }
    const auto queue = m_queues.find(query.pool);
    const bool isQueueEmpty = queue == m_queues.end() || queue->second.size() == 0;
    if (isQueueEmpty && tryPlace(query, callback)) {
        return;
    }
    if (!m_placement.hasOpenEndpoint(query, m_timers.now())) {
        return callback(refusalWithoutOpenEndpoint(query));
    }
    if (const std::optional<absl::Status> status = refusalIfAllBackedOff(query)) {
        return callback(*status);
    }
    // A further attempt of a call does not wait: it has already used up time and an endpoint's work, and must not take
    // a place from the calls in the queue.
    if (!query.excluded.empty()) {
        return callback(makeFailure(FailureCode::Overloaded,
                                    "no other endpoint of pool " + query.pool.value() + " has room",
                                    m_settings.noEndpointRetryAfter));
    }
    wait(query, std::move(callback));
}

absl::Status CallGate::refusalWithoutOpenEndpoint(const PlacementQuery &query) const
{
    if (query.requiredVersion) {
        return makeFailure(FailureCode::StreamVersionGone,
                           "no endpoint of pool " + query.pool.value() + " takes calls that runs the version \""
                               + query.requiredVersion->value() + "\", at which the stream began",
                           m_settings.noEndpointRetryAfter);
    }
    return makeFailure(FailureCode::NoEndpoint, "no endpoint of pool " + query.pool.value() + " takes calls",
                       m_settings.noEndpointRetryAfter);
}

bool CallGate::shouldShed(const PlacementQuery &query)
{
    if (query.lateAfter == Duration::zero() || m_settings.ignoresPressure) {
        return false;
    }
    const double overload = m_placement.overload(query, m_timers.now());
    return overload > 0 && m_random.fraction() < overload;
}

bool CallGate::tryPlace(const PlacementQuery &query, Callback &callback)
{
    const Instant now = m_timers.now();
    const std::optional<EndpointSlot> slot = m_placement.choose(query, now);
    if (!slot) {
        return false;
    }
    const EndpointListing &listing = m_registry.at(*slot).listing;
    const Placement placement{++m_lastPlacement,
                              listing.id,
                              listing.address,
                              listing.zone,
                              m_placement.expectedFirstAnswer(*slot, query, now),
                              listing.startedAtMilliseconds,
                              m_registry.at(*slot).isStartKnown,
                              listing.softwareVersion};
    const std::int64_t prefillTokens = m_placement.noteSent(*slot, query, now);
    m_placed.insert_or_assign(placement.id, PlacedCall{*slot, query.pool, prefillTokens, now, query.lateAfter});
    callback(placement);
    return true;
}

QueuedRequest CallGate::queuedRequest(const PlacementQuery &query)
{
    QueuedRequest request;
    request.request = query.call;
    request.organisation = query.organisation;
    // In the fair queue a higher number is served first, while 0 is the most urgent here.
    request.priority = -query.priority;
    request.cost = query.cost;
    request.deadline = query.deadline;
    return request;
}

void CallGate::wait(const PlacementQuery &query, Callback callback)
{
    const Instant now = m_timers.now();
    FairQueue &queue = m_queues.try_emplace(query.pool, m_settings.queue).first->second;
    const absl::Status status = queue.enqueue(queuedRequest(query), now);
    if (!status.ok()) {
        return callback(refusalFor(query, status));
    }
    m_waiting.insert_or_assign(query.call, WaitingCall{query, std::move(callback)});
    refuse(queue.expire(now));
    scheduleExpiry();
}

void CallGate::cancel(const RequestId &call, const PoolId &pool)
{
    const auto queue = m_queues.find(pool);
    if (queue != m_queues.end()) {
        queue->second.remove(call, m_timers.now());
    }
    auto node = m_waiting.extract(call);
    if (!node.empty()) {
        node.mapped().callback(makeFailure(FailureCode::ConnectionLost, "the caller is gone"));
    }
}

void CallGate::noteFirstAnswer(PlacementId placement)
{
    const auto it = m_placed.find(placement);
    if (it == m_placed.end() || it->second.isAnswered) {
        return;
    }
    PlacedCall &placed = it->second;
    placed.isAnswered = true;
    const Instant now = m_timers.now();
    m_placement.noteAccepted(placed.slot, placed.at);
    m_placement.notePrefilled(placed.slot, placed.prefillTokens);
    m_placement.noteFirstAnswer(placed.slot, placed.prefillTokens, now - placed.at, now);
}

void CallGate::noteSilent(PlacementId placement)
{
    const auto it = m_placed.find(placement);
    if (it != m_placed.end() && !std::exchange(it->second.isSilent, true)) {
        m_placement.noteFailed(it->second.slot, m_timers.now());
    }
}

NoticeChanges CallGate::noteNotice(PlacementId placement, const EndpointNotice &notice)
{
    const auto it = m_placed.find(placement);
    if (it == m_placed.end()) {
        return {};
    }
    NoticeChanges changes;
    if (std::ranges::find(notice.unreadable, NoticeField::Limit) == notice.unreadable.end()) {
        changes.hasLimitChanged = noteAnnouncedLimit(it->second, notice.callsPerSecond);
    }
    if (notice.isLeaving) {
        changes.isLeavingNow = m_registry.noteLeaving(it->second.slot);
    }
    if (notice.backoff) {
        const EndpointSlot slot = it->second.slot;
        changes.isBackoffLonger =
            m_placement.noteBackoff(slot, *notice.backoff, m_allowances.gateways(), m_timers.now());
    }
    if (changes.isBackoffLonger) {
        refuseWaitingIfAllBackedOff(it->second.pool);
    }
    return changes;
}

// No call that waits for these endpoints can be served in time, and its caller is better off with an immediate refusal.
void CallGate::refuseWaitingIfAllBackedOff(PoolId pool)
{
    const auto queue = m_queues.find(pool);
    if (queue == m_queues.end()) {
        return;
    }
    std::vector<RequestId> refused;
    for (const auto &[call, waiting] : m_waiting) {
        if (waiting.query.pool == pool && refusalIfAllBackedOff(waiting.query)) {
            refused.push_back(call);
        }
    }
    for (const RequestId &call : refused) {
        queue->second.remove(call, m_timers.now());
        if (auto node = m_waiting.extract(call); !node.empty()) {
            node.mapped().callback(*refusalIfAllBackedOff(node.mapped().query));
        }
    }
}

std::optional<absl::Status> CallGate::refusalIfAllBackedOff(const PlacementQuery &query) const
{
    const std::optional<std::chrono::milliseconds> wait = untilBackoffEnds(query);
    if (!wait) {
        return std::nullopt;
    }
    return makeFailure(FailureCode::Overloaded,
                       "all endpoints of pool " + query.pool.value() + " have asked for backoff", *wait);
}

std::optional<std::chrono::milliseconds> CallGate::untilBackoffEnds(const PlacementQuery &query) const
{
    const std::optional<Duration> wait = m_placement.untilBackoffEnds(query, m_timers.now());
    return wait ? std::optional(std::chrono::ceil<std::chrono::milliseconds>(*wait)) : std::nullopt;
}

bool CallGate::mayStillBeSent(PlacementId placement) const
{
    const auto it = m_placed.find(placement);
    return it != m_placed.end() && m_admission.mayStillBeSent(it->second.slot, m_timers.now());
}

bool CallGate::isAtCurrentIncarnation(PlacementId placement) const
{
    const auto it = m_placed.find(placement);
    return it != m_placed.end() && !m_registry.at(it->second.slot).isEarlierIncarnation;
}

SoftwareVersion CallGate::writerVersion(const Placement &placement) const
{
    return isAtCurrentIncarnation(placement.id) ? placement.softwareVersion : SoftwareVersion();
}

bool CallGate::noteAnnouncedLimit(const PlacedCall &placed, std::optional<double> callsPerSecond)
{
    const RegisteredEndpoint &endpoint = m_registry.at(placed.slot);
    if (!callsPerSecond && (!endpoint.announcedLimit || placed.at < endpoint.announcedLimitAt)) {
        return false;
    }
    m_registry.setAnnouncedLimit(placed.slot, callsPerSecond, m_timers.now());
    return true;
}

void CallGate::setAnnouncedLimit(const EndpointId &endpoint, std::optional<double> callsPerSecond)
{
    if (const std::optional<EndpointSlot> slot = m_registry.slotOf(endpoint)) {
        m_registry.setAnnouncedLimit(*slot, callsPerSecond, m_timers.now());
    }
}

void CallGate::noteWrongEndpoint(PlacementId placement)
{
    if (const auto it = m_placed.find(placement); it != m_placed.end()) {
        m_registry.noteWrongEndpoint(it->second.slot);
    }
}

void CallGate::noteCrashed(const EndpointIncarnation &incarnation, std::optional<std::int64_t> nextStartMilliseconds)
{
    const std::optional<EndpointSlot> slot = m_registry.currentSlotOf(incarnation);
    if (!slot) {
        return;
    }
    const std::optional<EndpointSlot> next = m_registry.noteEnded(*slot, m_timers.now());
    if (next && nextStartMilliseconds) {
        m_registry.noteStart(*next, *nextStartMilliseconds, m_timers.now(), m_timers.now());
    } else {
        m_placement.noteCrashed(next.value_or(*slot), m_timers.now());
    }
    if (next) {
        handleIncarnationEnded(*next);
    }
}

void CallGate::setIncarnationEndedCallback(std::function<void(const EndpointId &)> callback)
{
    m_onIncarnationEnded = std::move(callback);
}

void CallGate::noteStart(EndpointSlot slot, std::int64_t startedAtMilliseconds, Instant measuredAt)
{
    const std::optional<EndpointSlot> next =
        m_registry.noteStart(slot, startedAtMilliseconds, measuredAt, m_timers.now());
    if (next) {
        handleIncarnationEnded(*next);
    }
}

// How long the next incarnation stays cold is known from its entry only.
void CallGate::handleIncarnationEnded(EndpointSlot next)
{
    markCold({next});
    const EndpointId endpoint = m_registry.at(next).listing.id;
    if (m_onIncarnationEnded) {
        m_onIncarnationEnded(endpoint);
    }
    noteRegistryChanged();
}

void CallGate::noteEnded(PlacementId placement, RunEnd end)
{
    const auto it = m_placed.find(placement);
    if (it == m_placed.end()) {
        return;
    }
    const PlacedCall placed = it->second;
    m_placed.erase(it);
    if (!placed.isAnswered) {
        m_placement.notePrefilled(placed.slot, placed.prefillTokens);
    }
    if (end == RunEnd::Ok) {
        m_placement.noteAccepted(placed.slot, placed.at);
    }
    noteOverload(placed, end);
    // A failure that was already counted when the endpoint fell silent is not counted again.
    const bool isCounted = end == RunEnd::Failed && placed.isSilent;
    m_placement.noteEnded(placed.slot, isCounted ? RunEnd::Cancelled : end, m_timers.now());
    admitWaiting(placed.pool);
}

// A refusal means that the endpoint's queue is full, so it counts as a late answer. Failed and cancelled calls say
// nothing about the endpoint's load.
void CallGate::noteOverload(const PlacedCall &placed, RunEnd end)
{
    if (placed.lateAfter == Duration::zero() || end == RunEnd::Failed || end == RunEnd::Cancelled) {
        return;
    }
    const Instant now = m_timers.now();
    m_placement.noteOverload(placed.slot, end == RunEnd::Refused || now - placed.at > placed.lateAfter, now);
}

// Places waiting calls in the queue's order. A call goes back into the queue if none of the endpoints with room may be
// sent it, and the calls behind it are tried. At most kMaxSkipped calls are skipped that way, since re-enqueueing ranks
// each of them anew.
void CallGate::admitWaiting(const PoolId &pool)
{
    const auto queue = m_queues.find(pool);
    if (queue == m_queues.end()) {
        return;
    }
    constexpr std::size_t kMaxSkipped = 4;
    const Instant now = m_timers.now();
    std::vector<WaitingCall> skipped;
    while (queue->second.size() > 0 && skipped.size() < kMaxSkipped) {
        PlacementQuery probe;
        probe.pool = pool;
        if (!m_placement.choose(probe, now)) {
            break;
        }
        const std::optional<QueuedRequest> next = queue->second.next(now);
        if (!next) {
            break;
        }
        auto node = m_waiting.extract(next->request);
        if (node.empty()) {
            continue;
        }
        WaitingCall waiting = std::move(node.mapped());
        if (!tryPlace(waiting.query, waiting.callback)) {
            skipped.push_back(std::move(waiting));
        }
    }
    for (WaitingCall &skippedCall : skipped) {
        wait(skippedCall.query, std::move(skippedCall.callback));
    }
    refuse(queue->second.expire(now));
}

void CallGate::noteRegistryChanged()
{
    for (const EndpointSlot slot : m_registry.forgetGone(m_timers.now())) {
        m_placement.forget(slot);
        m_loads.forget(slot);
    }
    for (const auto &[pool, queue] : m_queues) {
        admitWaiting(pool);
    }
}

void CallGate::expire()
{
    m_timer = 0;
    for (auto &[pool, queue] : m_queues) {
        // An endpoint may have become usable because its ejection has ended, which is not reported by any event.
        admitWaiting(pool);
    }
    scheduleExpiry();
}

void CallGate::refuse(const std::vector<QueueRefusal> &refusals)
{
    for (const QueueRefusal &refusal : refusals) {
        auto node = m_waiting.extract(refusal.request);
        if (!node.empty()) {
            node.mapped().callback(refusalFor(node.mapped().query, refusal.status));
        }
    }
}

void CallGate::scheduleExpiry()
{
    if (m_timer == 0 && !m_waiting.empty()) {
        m_timer = m_timers.after(m_settings.expiryInterval, [this] {
            expire();
        });
    }
}

std::size_t CallGate::waiting() const
{
    return m_waiting.size();
}

}
