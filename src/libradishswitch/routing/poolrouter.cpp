#include "routing/poolrouter.h"

#include "base/failure.h"

#include <algorithm>
#include <iterator>

namespace RadishSwitch
{

namespace
{

// How fast the mean of a pool follows its endpoints' reports.
constexpr double kMeanStep = 0.1;

}

PoolRouter::PoolRouter(EndpointDirectory &directory, RandomSource &random, RoutingSettings routing,
                       EjectionSettings ejection)
    : m_directory(directory)
    , m_random(random)
    , m_routing(routing)
    , m_ejection(ejection)
{
    m_uses.resize(m_directory.slotLimit());
    m_directory.setObserver(this);
}

PoolRouter::~PoolRouter()
{
    m_directory.setObserver(nullptr);
}

absl::StatusOr<RouteChoice> PoolRouter::choose(const RouteQuery &query, Instant now)
{
    m_latest = std::max(m_latest, now);
    RoutingPolicy *policy = policyOf(query.pool, query.policy);
    if (policy == nullptr) {
        return makeFailure(FailureCode::InvalidSettings, "no routing policy is named " + query.policy);
    }
    const std::optional<EndpointSlot> slot = chooseSlot(*policy, query, now);
    if (!slot) {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(m_routing.noEndpointRetryAfter);
        return makeFailure(FailureCode::NoEndpoint, "no endpoint of pool " + query.pool.value() + " may get work",
                           wait);
    }
    m_hints.noteDispatched(*slot, query.prefixHashes);
    const EndpointState &state = m_directory.state(*slot);
    return RouteChoice{state.endpoint, state.address};
}

void PoolRouter::noteDispatched(const EndpointId &endpoint, std::int64_t, Instant now)
{
    m_latest = std::max(m_latest, now);
    if (EndpointUse *use = useOf(endpoint)) {
        use->noteDispatched(now);
    }
}

void PoolRouter::noteFirstToken(const EndpointId &endpoint, Duration, Instant now)
{
    m_latest = std::max(m_latest, now);
    if (EndpointUse *use = useOf(endpoint)) {
        use->noteFirstToken(now);
    }
}

void PoolRouter::noteFinished(const EndpointId &endpoint, RunEnd end, Instant now)
{
    m_latest = std::max(m_latest, now);
    const std::optional<EndpointSlot> slot = m_directory.slotOf(endpoint);
    if (!slot) {
        return;
    }
    EndpointUse &use = useOf(*slot);
    // A run of an earlier incarnation says nothing about the present one.
    if (use.inFlight() == 0) {
        return;
    }
    const Duration spent = use.noteFinished(end, now);
    double &mean = m_poolLoads[m_directory.state(*slot).pool].runSeconds;
    mean += kMeanStep * (static_cast<double>(spent.count()) * 1e-6 - mean);
    switch (end) {
    case RunEnd::Ok:
        use.ejection().noteSucceeded(m_ejection, now);
        break;
    case RunEnd::Failed:
        if (use.ejection().noteFailed(m_ejection, now)) {
            ejectUnlessFloor(*slot, now);
        }
        break;
    case RunEnd::Refused:
    case RunEnd::Cancelled:
        use.ejection().noteNeutral();
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
        if (!m_directory.isEligible(slot, m_latest) || m_uses[slot].ejection().isEjected(m_latest)) {
            continue;
        }
        const EndpointLoad &load = m_directory.state(slot).load;
        const double others = static_cast<double>(load.running) + load.queued - m_uses[slot].inFlightWhenMeasured();
        const double busy = std::max(0.0, others) + m_uses[slot].inFlight();
        reportedFree += std::max(0.0, capacityOf(load, m_routing) - busy);
        room.own += ownSlots(slot);
        room.free += ownRoom(slot);
    }
    room.free = std::max(room.free, static_cast<std::int64_t>(reportedFree / static_cast<double>(m_count)));
    return room;
}

void PoolRouter::setPartOfCapacity(std::size_t rank, std::size_t count)
{
    m_count = std::max<std::size_t>(count, 1);
    m_rank = std::min(rank, m_count - 1);
}

std::int64_t PoolRouter::ownSlots(EndpointSlot slot) const
{
    const EndpointState &state = m_directory.state(slot);
    const std::size_t capacity = capacityOf(state.load, m_routing);
    // Slots that do not divide evenly go to other processes at each endpoint.
    const std::size_t turn = (m_rank + state.hash) % m_count;
    return static_cast<std::int64_t>((turn + 1) * capacity / m_count - turn * capacity / m_count);
}

std::int64_t PoolRouter::ownRoom(EndpointSlot slot) const
{
    return std::max<std::int64_t>(0, ownSlots(slot) - m_uses[slot].inFlight());
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
    return slot && *slot < m_uses.size() && m_uses[*slot].ejection().isEjected(now);
}

void PoolRouter::endpointStarted(EndpointSlot slot, Instant now)
{
    m_latest = std::max(m_latest, now);
    EndpointUse &use = useOf(slot);
    use = EndpointUse();
    use.startedAt = now;
    m_hints.forget(slot);
}

void PoolRouter::endpointReported(EndpointSlot slot, const std::vector<CacheEvent> &events, Instant now)
{
    m_latest = std::max(m_latest, now);
    const EndpointState &state = m_directory.state(slot);
    useOf(slot).noteReported(state.loadMeasuredAt);
    m_hints.applyEvents(slot, events);
    learnPoolLoad(slot);
}

void PoolRouter::endpointForgotten(EndpointSlot slot)
{
    useOf(slot) = EndpointUse();
    m_hints.forget(slot);
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
    using Strictness = RouteCandidates::Strictness;
    const std::vector<EndpointSlot> *slots = &m_directory.serving(query.pool, query.model);
    if (slots->empty()) {
        slots = &m_directory.serving(query.pool, baseModelOf(query.model));
    }
    m_uses.resize(std::max(m_uses.size(), m_directory.slotLimit()));
    const PoolLoad &load = m_poolLoads[query.pool];
    RouteCandidates candidates{query,     *slots,   m_directory,       m_uses, m_hints, load,
                               m_routing, m_random, Strictness::Usual, now};
    std::optional<EndpointSlot> slot;
    if (m_count > 1 && load.utilisation >= m_routing.fullFrom) {
        slot = chooseOwnRoom(policy, candidates);
    }
    if (!slot) {
        slot = policy.choose(candidates);
    }
    if (!slot) {
        candidates.strictness = Strictness::AlsoEjected;
        slot = policy.choose(candidates);
    }
    return slot;
}

std::optional<EndpointSlot> PoolRouter::chooseOwnRoom(RoutingPolicy &policy, const RouteCandidates &candidates) const
{
    std::vector<EndpointSlot> slots;
    std::ranges::copy_if(candidates.slots, std::back_inserter(slots), [this](EndpointSlot slot) {
        return ownRoom(slot) > 0;
    });
    const RouteCandidates own{
        candidates.query, slots,    candidates.directory,  m_uses,        m_hints, candidates.poolLoad,
        m_routing,        m_random, candidates.strictness, candidates.now};
    return slots.empty() ? std::nullopt : policy.choose(own);
}

void PoolRouter::ejectUnlessFloor(EndpointSlot slot, Instant now)
{
    // When the fault is common to all endpoints (a bad model, a lost disk behind them), each of them fails often
    // enough to be left out. Without a floor the pool would be empty and every request refused, while some succeed.
    std::size_t eligible = 0;
    std::size_t ejected = 1;
    for (const EndpointSlot other : m_directory.serving(m_directory.state(slot).pool, {})) {
        if (m_directory.isEligible(other, now)) {
            ++eligible;
            ejected += other != slot && !useOf(other).ejection().isAllowed(now) ? 1 : 0;
        }
    }
    if (static_cast<double>(ejected) <= m_ejection.ejectedShare * static_cast<double>(eligible)) {
        useOf(slot).ejection().eject(m_ejection, now);
    }
}

void PoolRouter::learnPoolLoad(EndpointSlot slot)
{
    const EndpointState &state = m_directory.state(slot);
    PoolLoad &mean = m_poolLoads[state.pool];
    const double runs = static_cast<double>(state.load.running) + state.load.queued;
    mean.utilisation += kMeanStep * (runs / capacityOf(state.load, m_routing) - mean.utilisation);
    mean.runs += kMeanStep * (runs - mean.runs);
    mean.ownRuns += kMeanStep * (m_uses[slot].inFlightWhenMeasured() - mean.ownRuns);
}

EndpointUse &PoolRouter::useOf(EndpointSlot slot)
{
    if (slot >= m_uses.size()) {
        m_uses.resize(slot + 1);
    }
    return m_uses[slot];
}

EndpointUse *PoolRouter::useOf(const EndpointId &endpoint)
{
    const std::optional<EndpointSlot> slot = m_directory.slotOf(endpoint);
    return slot ? &useOf(*slot) : nullptr;
}

}
