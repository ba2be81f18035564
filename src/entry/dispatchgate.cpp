#include "dispatchgate.h"

#include "agentlife.h"
#include "base/failure.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr Duration kTick = std::chrono::milliseconds(20);
constexpr Duration kForgetInterval = std::chrono::seconds(5);

}

GatePass::GatePass(DispatchGate &gate, const RunPlan &plan, Instant since)
    : m_gate(&gate)
    , m_organisation(plan.budget.organisation)
    , m_pool(plan.pool)
    , m_priority(plan.priority)
    , m_tokens(plan.worstCaseTokens)
    , m_since(since)
{
}

GatePass::~GatePass()
{
    release();
}

GatePass::GatePass(GatePass &&other) noexcept
{
    *this = std::move(other);
}

GatePass &GatePass::operator=(GatePass &&other) noexcept
{
    if (this != &other) {
        release();
        m_gate = std::exchange(other.m_gate, nullptr);
        m_organisation = std::move(other.m_organisation);
        m_pool = std::move(other.m_pool);
        m_priority = other.m_priority;
        m_tokens = other.m_tokens;
        m_since = other.m_since;
        m_isDispatched = other.m_isDispatched;
    }
    return *this;
}

void GatePass::noteDispatched()
{
    if (m_gate != nullptr && !std::exchange(m_isDispatched, true)) {
        m_gate->beginDispatch(m_pool);
    }
}

void GatePass::release(std::int64_t usedTokens)
{
    if (DispatchGate *gate = std::exchange(m_gate, nullptr)) {
        gate->leave(*this, usedTokens);
    }
}

DispatchGate::DispatchGate(TimerService &timers, RandomSource &random, std::string zone, std::string region)
    : m_timers(timers)
    , m_zone(std::move(zone))
    , m_region(std::move(region))
    , m_router(m_directory, random)
    , m_retries(random)
{
}

DispatchGate::~DispatchGate()
{
    m_timers.cancel(m_timer);
}

void DispatchGate::start()
{
    m_timer = m_timers.every(kTick, [this] {
        tick();
    });
}

void DispatchGate::applyTable(const SteeringTable &table)
{
    m_monitor.run([&] {
        const Instant now = m_timers.now();
        for (const OrganisationRow &row : table.rows().organisations) {
            const OrganisationCeilings ceilings{static_cast<double>(row.ceilingRequestsPerSecond),
                                                static_cast<double>(row.ceilingTokensPerSecond), row.ceilingConcurrent};
            m_ceilings.setCeilings(row.name, ceilings, now);
        }
        for (const PoolRow &row : table.rows().pools) {
            const auto length = static_cast<std::size_t>(row.maximumQueue);
            m_queueSettings[row.name].length = length;
            Pool &pool = poolOf(row.name);
            pool.queue.setLength(length);
            pool.queueDeadline = std::chrono::milliseconds(row.queueDeadlineMs);
        }
    });
}

void DispatchGate::setPlaceAmongEntries(std::size_t rank, std::size_t count)
{
    m_monitor.run([&] {
        m_ceilings.setShare(1.0 / static_cast<double>(count), m_timers.now());
        m_router.setCapacityShare(rank, count);
    });
}

void DispatchGate::enter(const RunPlan &plan, Instant deadline, EnterCallback callback)
{
    m_monitor.run([&] {
        const Instant now = m_timers.now();
        const absl::Status ceiling = m_ceilings.admit(plan.budget.organisation, plan.worstCaseTokens, now);
        if (!ceiling.ok()) {
            callback(ceiling);
            return;
        }
        Pool &pool = poolOf(plan.pool);
        const Waiting waiting{plan, now, std::move(callback)};
        QueuedRequest queued;
        queued.request = RequestId(std::to_string(++m_tickets));
        queued.organisation = plan.budget.organisation;
        queued.priority = plan.priority;
        queued.share = plan.share;
        queued.cost = std::max<std::int64_t>(1, plan.worstCaseTokens);
        queued.deadline = std::min(deadline, now + pool.queueDeadline);
        if (m_router.eligibleCount(plan.pool, now) == 0) {
            m_ceilings.noteFinished(plan.budget.organisation, plan.worstCaseTokens, 0, Duration::zero(), now);
            waiting.callback(m_router.choose(queryOf(plan, {}, Instant::max()), now).status());
            return;
        }
        const absl::Status status = pool.queue.enqueue(queued, now);
        if (!status.ok()) {
            m_ceilings.noteFinished(plan.budget.organisation, plan.worstCaseTokens, 0, Duration::zero(), now);
            waiting.callback(status);
            return;
        }
        pool.waiting.emplace(queued.request, waiting);
        pump(plan.pool, pool, now);
        refuseExpired(pool, now);
    });
}

void DispatchGate::beginDispatch(const PoolId &pool)
{
    m_monitor.run([&] {
        poolOf(pool).entering -= 1;
        m_retries.noteFirstAttempt();
    });
}

void DispatchGate::leave(const GatePass &pass, std::int64_t used)
{
    m_monitor.run([&] {
        const Instant now = m_timers.now();
        m_ceilings.noteFinished(pass.m_organisation, pass.m_tokens, used, now - pass.m_since, now);
        Pool &pool = poolOf(pass.m_pool);
        pool.queue.noteActualCost(pass.m_organisation, pass.m_priority, std::max<std::int64_t>(1, pass.m_tokens), used);
        pool.underWay -= 1;
        pool.entering -= pass.m_isDispatched ? 0 : 1;
        pump(pass.m_pool, pool, now);
    });
}

void DispatchGate::setNewAgentCallback(std::function<void()> callback)
{
    m_onNewAgent = std::move(callback);
}

absl::StatusOr<RouteChoice> DispatchGate::choose(const RunPlan &plan, const std::vector<EndpointId> &excluded,
                                                 Instant startedBefore,
                                                 const std::optional<SoftwareVersion> &requiredVersion)
{
    return m_monitor.run([&]() -> absl::StatusOr<RouteChoice> {
        RouteQuery query = queryOf(plan, excluded, startedBefore);
        query.requiredVersion = requiredVersion;
        absl::StatusOr<RouteChoice> choice = m_router.choose(query, m_timers.now());
        if (choice.ok()) {
            const EndpointState *state = m_directory.find(choice->endpoint);
            const IncarnationId incarnation = state == nullptr ? IncarnationId() : state->incarnation;
            choice->address = AgentLife{choice->address, incarnation}.toString();
        }
        return choice;
    });
}

void DispatchGate::noteDispatched(const RouteChoice &choice, const RunPlan &plan)
{
    m_monitor.run([&] {
        m_router.noteDispatched(choice.endpoint, plan.worstCaseTokens, m_timers.now());
    });
}

void DispatchGate::noteFirstToken(const RouteChoice &choice, Duration taken)
{
    m_monitor.run([&] {
        m_router.noteFirstToken(choice.endpoint, taken, m_timers.now());
    });
}

void DispatchGate::noteFinished(const RouteChoice &choice, const RunPlan &plan, RunEnd end)
{
    m_monitor.run([&] {
        const Instant now = m_timers.now();
        m_router.noteFinished(choice.endpoint, end, now);
        pump(plan.pool, poolOf(plan.pool), now);
    });
}

void DispatchGate::noteLoad(const RouteChoice &choice, const wire::Load &message)
{
    EndpointLoad load;
    load.running = message.running();
    load.queued = message.queued();
    load.capacity = message.capacity();
    load.queuedTokens = message.queued_tokens();
    load.tokensPerSecond = message.tokens_per_second();
    load.age = std::chrono::milliseconds(message.age_ms());
    if (load.capacity > 0) {
        m_monitor.run([&] {
            m_directory.applyLoad(choice.endpoint, load, m_timers.now());
        });
    }
}

absl::StatusOr<Duration> DispatchGate::retry(const RetryQuery &query)
{
    return m_monitor.run([&] {
        return m_retries.retry(query, m_timers.now());
    });
}

void DispatchGate::applyReport(const EndpointReport &report)
{
    m_monitor.run([&] {
        const Instant now = m_timers.now();
        const EndpointState *before = m_directory.find(report.endpoint);
        const bool isNew = before == nullptr || before->incarnation != report.incarnation;
        m_directory.applyReport(report, now);
        if (isNew && m_onNewAgent) {
            m_onNewAgent();
        }
        pump(report.pool, poolOf(report.pool), now);
    });
}

void DispatchGate::applyListed(const ListedInstance &instance)
{
    m_monitor.run([&] {
        m_directory.applyListed(instance, m_timers.now());
    });
}

void DispatchGate::applyUnlisted(const EndpointId &endpoint)
{
    m_monitor.run([&] {
        m_directory.applyUnlisted(endpoint, m_timers.now());
    });
}

void DispatchGate::noteConnectionLost(const EndpointId &endpoint)
{
    m_monitor.run([&] {
        m_directory.noteConnectionLost(endpoint, m_timers.now());
    });
}

std::vector<std::string> DispatchGate::agentLives() const
{
    return m_monitor.run([&] {
        std::vector<std::string> lives;
        for (const PoolId &pool : m_directory.pools()) {
            for (const EndpointSlot slot : m_directory.serving(pool, "")) {
                const EndpointState &state = m_directory.state(slot);
                lives.push_back(AgentLife{state.address, state.incarnation}.toString());
            }
        }
        return lives;
    });
}

std::vector<PoolStanding> DispatchGate::standings() const
{
    return m_monitor.run([&] {
        std::vector<PoolStanding> standings;
        for (const auto &[id, pool] : m_pools) {
            standings.push_back({id, m_router.eligibleCount(id, m_timers.now()), m_router.freeSlots(id),
                                 pool.queue.size(), pool.underWay});
        }
        return standings;
    });
}

DispatchGate::Pool &DispatchGate::poolOf(const PoolId &id)
{
    const auto it = m_pools.find(id);
    if (it != m_pools.end()) {
        return it->second;
    }
    return m_pools.try_emplace(id, m_queueSettings[id]).first->second;
}

void DispatchGate::pump(const PoolId &id, Pool &pool, Instant now)
{
    while (pool.queue.size() > 0) {
        // Those let in and not sent yet are not in the router's count.
        PoolSlots room = m_router.room(id);
        room.free -= pool.entering;
        if (room.free <= 0) {
            return;
        }
        const std::optional<QueuedRequest> next = pool.queue.next(now, room);
        if (!next) {
            return;
        }
        auto node = pool.waiting.extract(next->request);
        if (!node.empty()) {
            letIn(pool, node.mapped());
        }
    }
}

void DispatchGate::letIn(Pool &pool, const Waiting &waiting)
{
    pool.entering += 1;
    pool.underWay += 1;
    waiting.callback(GatePass(*this, waiting.plan, m_timers.now()));
}

void DispatchGate::refuseExpired(Pool &pool, Instant now)
{
    for (const QueueRefusal &refusal : pool.queue.expire(now)) {
        auto node = pool.waiting.extract(refusal.request);
        if (node.empty()) {
            continue;
        }
        const RunPlan &plan = node.mapped().plan;
        m_ceilings.noteFinished(plan.budget.organisation, plan.worstCaseTokens, 0, Duration::zero(), now);
        node.mapped().callback(refusal.status);
    }
}

void DispatchGate::tick()
{
    m_monitor.run([&] {
        const Instant now = m_timers.now();
        for (auto &[id, pool] : m_pools) {
            refuseExpired(pool, now);
            pump(id, pool, now);
        }
        if (now.time_since_epoch() % kForgetInterval < kTick) {
            m_directory.removeSilent(now);
        }
    });
}

RouteQuery DispatchGate::queryOf(const RunPlan &plan, const std::vector<EndpointId> &excluded,
                                 Instant startedBefore) const
{
    RouteQuery query;
    query.pool = plan.pool;
    query.policy = plan.policy;
    query.model = plan.model;
    query.prefixHashes = plan.prefixHashes;
    query.promptTokens = plan.promptTokens;
    query.maximumTokens = plan.worstCaseTokens - plan.promptTokens;
    query.excluded = excluded;
    query.startedBefore = startedBefore;
    query.zone = m_zone;
    query.region = m_region;
    return query;
}

}
