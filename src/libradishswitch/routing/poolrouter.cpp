#include "routing/poolrouter.h"

#include "base/failure.h"

#include <algorithm>
#include <iterator>

namespace RadishSwitch
{

namespace
{

// Weight of a new value in the moving averages of a pool.
constexpr double kSmoothingFactor = 0.1;

}

PoolRouter::PoolRouter(EndpointDirectory &directory, RandomSource &random, RoutingSettings routing,
                       EjectionSettings ejection)
    : m_directory(directory)
    , m_random(random)
    , m_routing(routing)
    , m_ejection(ejection)
{
    m_activities.resize(m_directory.slotLimit());
    m_directory.setObserver(this);
}

PoolRouter::~PoolRouter()
{
    m_directory.setObserver(nullptr);
}

absl::StatusOr<RouteChoice> PoolRouter::choose(const RouteQuery &query, Instant now)
{
    m_latestTime = std::max(m_latestTime, now);
    RoutingPolicy *policy = policyOf(query.pool, query.policy);
    if (policy == nullptr) {
        return makeFailure(FailureCode::InvalidSettings, "unknown routing policy: " + query.policy);
    }
    const std::optional<EndpointSlot> slot = chooseSlot(*policy, query, now);
    if (!slot) {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(m_routing.noEndpointRetryAfter);
        return makeFailure(FailureCode::NoEndpoint,
                           "no endpoint of pool " + query.pool.value() + " can take the request now", wait);
    }
    m_hints.noteDispatched(*slot, query.prefixHashes);
    const EndpointState &state = m_directory.state(*slot);
    return RouteChoice{state.endpoint, state.address, state.softwareVersion};
}

void PoolRouter::noteDispatched(const EndpointId &endpoint, std::int64_t, Instant now)
{
    m_latestTime = std::max(m_latestTime, now);
    if (EndpointActivity *activity = activityOf(endpoint)) {
        activity->noteDispatched(now);
    }
}

void PoolRouter::noteFirstToken(const EndpointId &endpoint, Duration, Instant now)
{
    m_latestTime = std::max(m_latestTime, now);
    if (EndpointActivity *activity = activityOf(endpoint)) {
        activity->noteFirstToken(now);
    }
}

void PoolRouter::noteFinished(const EndpointId &endpoint, RunEnd end, Instant now)
{
    m_latestTime = std::max(m_latestTime, now);
    const std::optional<EndpointSlot> slot = m_directory.slotOf(endpoint);
    if (!slot) {
        return;
    }
    EndpointActivity &activity = activityOf(*slot);
    // A run of an earlier incarnation ended, which says nothing about the present one.
    if (activity.inFlight() == 0) {
        return;
    }
    const Duration spent = activity.noteFinished(end, now);
    double &mean = m_poolLoads[m_directory.state(*slot).pool].runSeconds;
    mean += kSmoothingFactor * (static_cast<double>(spent.count()) * 1e-6 - mean);
    switch (end) {
    case RunEnd::Ok:
        activity.ejection().noteSucceeded(m_ejection, now);
        break;
    case RunEnd::Failed:
        if (activity.ejection().noteFailed(m_ejection, now)) {
            ejectWithinLimit(*slot, now);
        }
        break;
    case RunEnd::Refused:
    case RunEnd::Cancelled:
        activity.ejection().noteNeutral();
        break;
    }
}

std::int64_t PoolRouter::freeSlots(const PoolId &pool) const
{
    return room(pool).free;
}

PoolSlots PoolRouter::room(const PoolId &pool) const
{
    PoolSlots room{0, 0};
    double reportedFree = 0;
    for (const EndpointSlot slot : m_directory.serving(pool, {})) {
        if (!m_directory.isEligible(slot, m_latestTime) || m_activities[slot].ejection().isEjected(m_latestTime)) {
            continue;
        }
        const EndpointLoad &load = m_directory.state(slot).load;
        const double others =
            static_cast<double>(load.running) + load.queued - m_activities[slot].inFlightWhenMeasured();
        const double busy = std::max(0.0, others) + m_activities[slot].inFlight();
        reportedFree += std::max(0.0, capacityOf(load, m_routing) - busy);
        room.own += ownSlotCount(slot);
        room.free += ownFreeSlots(slot);
    }
    room.free = std::max(room.free, static_cast<std::int64_t>(reportedFree / static_cast<double>(m_processCount)));
    return room;
}

void PoolRouter::setCapacityShare(std::size_t rank, std::size_t count)
{
    m_processCount = std::max<std::size_t>(count, 1);
    m_processRank = std::min(rank, m_processCount - 1);
}

std::int64_t PoolRouter::ownSlotCount(EndpointSlot slot) const
{
    const EndpointState &state = m_directory.state(slot);
    const std::size_t capacity = capacityOf(state.load, m_routing);
    // Adding the endpoint's hash gives the slots that do not divide evenly to different processes at different
    // endpoints.
    const std::size_t turn = (m_processRank + state.hash) % m_processCount;
    return static_cast<std::int64_t>((turn + 1) * capacity / m_processCount - turn * capacity / m_processCount);
}

std::int64_t PoolRouter::ownFreeSlots(EndpointSlot slot) const
{
    return std::max<std::int64_t>(0, ownSlotCount(slot) - m_activities[slot].inFlight());
}

std::size_t PoolRouter::eligibleCount(const PoolId &pool, Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_directory.serving(pool, {}), [&](EndpointSlot slot) {
        return m_directory.isEligible(slot, now);
    }));
}

bool PoolRouter::isEjected(const EndpointId &endpoint, Instant now) const
{
    const std::optional<EndpointSlot> slot = m_directory.slotOf(endpoint);
    return slot && *slot < m_activities.size() && m_activities[*slot].ejection().isEjected(now);
}

void PoolRouter::endpointStarted(EndpointSlot slot, Instant now)
{
    m_latestTime = std::max(m_latestTime, now);
    EndpointActivity &activity = activityOf(slot);
    activity = EndpointActivity();
    activity.startedAt = now;
    m_hints.removeEndpoint(slot);
}

void PoolRouter::endpointReported(EndpointSlot slot, const std::vector<CacheEvent> &events, Instant now)
{
    m_latestTime = std::max(m_latestTime, now);
    const EndpointState &state = m_directory.state(slot);
    activityOf(slot).noteReported(state.loadMeasuredAt);
    m_hints.applyEvents(slot, events);
    updatePoolLoad(slot);
}

void PoolRouter::endpointRemoved(EndpointSlot slot)
{
    activityOf(slot) = EndpointActivity();
    m_hints.removeEndpoint(slot);
}

RoutingPolicy *PoolRouter::policyOf(const PoolId &pool, const std::string &name)
{
    std::unique_ptr<RoutingPolicy> &policy = m_policies[pool];
    const std::string_view wanted = name.empty() ? routingPolicyNames().front() : name;
    if (policy == nullptr || policy->name() != wanted) {
        policy = makeRoutingPolicy(wanted);
    }
    return policy.get();
}

std::optional<EndpointSlot> PoolRouter::chooseSlot(RoutingPolicy &policy, const RouteQuery &query, Instant now)
{
    using EjectedEndpoints = RouteCandidates::EjectedEndpoints;
    const std::vector<EndpointSlot> *slots = &m_directory.serving(query.pool, query.model);
    if (slots->empty()) {
        slots = &m_directory.serving(query.pool, baseModelOf(query.model));
    }
    m_activities.resize(std::max(m_activities.size(), m_directory.slotLimit()));
    const PoolLoad &load = m_poolLoads[query.pool];
    RouteCandidates candidates{
        query, *slots, m_directory, m_activities, m_hints, load, m_routing, m_random, EjectedEndpoints::Excluded, now};
    std::optional<EndpointSlot> slot;
    if (m_processCount > 1 && load.utilisation >= m_routing.saturationUtilisation) {
        slot = chooseFromOwnSlots(policy, candidates);
    }
    if (!slot) {
        slot = policy.choose(candidates);
    }
    if (!slot) {
        candidates.ejectedEndpoints = EjectedEndpoints::Included;
        slot = policy.choose(candidates);
    }
    return slot;
}

std::optional<EndpointSlot> PoolRouter::chooseFromOwnSlots(RoutingPolicy &policy,
                                                           const RouteCandidates &candidates) const
{
    std::vector<EndpointSlot> slots;
    std::ranges::copy_if(candidates.slots, std::back_inserter(slots), [this](EndpointSlot slot) {
        return ownFreeSlots(slot) > 0;
    });
    const RouteCandidates own{
        candidates.query, slots,    candidates.directory,        m_activities,  m_hints, candidates.poolLoad,
        m_routing,        m_random, candidates.ejectedEndpoints, candidates.now};
    return slots.empty() ? std::nullopt : policy.choose(own);
}

void PoolRouter::ejectWithinLimit(EndpointSlot slot, Instant now)
{
    // When all endpoints share a fault, such as a bad model or a lost disk behind them, each of them fails often enough
    // to be ejected. Without a limit the pool would become empty and every request would be refused, although some
    // would succeed.
    std::size_t eligible = 0;
    std::size_t ejected = 1;
    for (const EndpointSlot other : m_directory.serving(m_directory.state(slot).pool, {})) {
        if (m_directory.isEligible(other, now)) {
            ++eligible;
            ejected += other != slot && !activityOf(other).ejection().isAllowed(now) ? 1 : 0;
        }
    }
    if (static_cast<double>(ejected) <= m_ejection.maximumEjectedShare * static_cast<double>(eligible)) {
        activityOf(slot).ejection().eject(m_ejection, now);
    }
}

void PoolRouter::updatePoolLoad(EndpointSlot slot)
{
    const EndpointState &state = m_directory.state(slot);
    PoolLoad &mean = m_poolLoads[state.pool];
    const double runs = static_cast<double>(state.load.running) + state.load.queued;
    mean.utilisation += kSmoothingFactor * (runs / capacityOf(state.load, m_routing) - mean.utilisation);
    mean.runs += kSmoothingFactor * (runs - mean.runs);
    mean.ownRuns += kSmoothingFactor * (m_activities[slot].inFlightWhenMeasured() - mean.ownRuns);
}

EndpointActivity &PoolRouter::activityOf(EndpointSlot slot)
{
    if (slot >= m_activities.size()) {
        m_activities.resize(slot + 1);
    }
    return m_activities[slot];
}

EndpointActivity *PoolRouter::activityOf(const EndpointId &endpoint)
{
    const std::optional<EndpointSlot> slot = m_directory.slotOf(endpoint);
    return slot ? &activityOf(*slot) : nullptr;
}

}
