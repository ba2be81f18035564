#include "searchworld.h"

#include <algorithm>

namespace RadishSwitch
{

namespace
{

const BudgetId kBudget{OrganisationId("o"), "b"};
const std::string kAgent = "agent";
const std::string kLateAgent = "late";
constexpr std::int64_t kInitiallyPaid = 100;
constexpr std::array<std::int64_t, 2> kPayments{40, 30};
constexpr int kSubmissionsOfPayment = 2;
constexpr int kFairRounds = 400;

LedgerSettings ledgerSettings()
{
    LedgerSettings settings;
    settings.shardCount = 1;
    return settings;
}

BudgetHolderSettings holderSettings(int holder)
{
    BudgetHolderSettings settings;
    settings.incarnation = IncarnationId("h" + std::to_string(holder));
    settings.region = "r" + std::to_string(holder);
    settings.requestsAhead = 1;
    settings.shareOfFree = 0.5;
    return settings;
}

}

SearchWorld::Actor::Actor(SearchStore::Shared &shared)
    : store(shared, tasks)
    , ledger(std::make_unique<Ledger>(store, timers, random, ledgerSettings()))
{
}

const SearchStore::Shared &SearchWorld::initialStore()
{
    static const SearchStore::Shared shared = [] {
        SearchStore::Shared store;
        Actor creator(store);
        LedgerEditor editor(*creator.ledger, creator.timers, creator.tasks);
        editor.createBudget(kBudget, "ann", [](const absl::Status &) {});
        editor.topUp(kBudget, PaymentId("first"), kInitiallyPaid, "ann", [](const auto &) {});
        for (int i = 0; i < kFairRounds && !creator.ledger->isIdle(); ++i) {
            creator.tasks.runAll();
            creator.store.hasWrite() ? creator.store.execute(false) : static_cast<void>(creator.timers.fireNext());
        }
        return store;
    }();
    return shared;
}

SearchWorld::SearchWorld(int faults)
    : m_agents(m_agentTasks)
    , m_shared(initialStore())
    , m_requests{{0, 60, 60}, {1, 50, 20}, {0, 60, 40}}
    , m_faults(faults)
{
    m_agents.add(kAgent);
    for (int i = 0; i <= kOperator; ++i) {
        m_actors.push_back(std::make_unique<Actor>(m_shared));
    }
    for (int i = 0; i < kHolders; ++i) {
        Actor &it = *m_actors[i];
        it.holder = std::make_unique<BudgetHolder>(*it.ledger, it.timers, it.tasks, it.random, holderSettings(i));
    }
    Actor &closer = *m_actors[kCloser];
    PortionCloserSettings settings;
    settings.discoveryTime = Duration::zero();
    closer.closer =
        std::make_unique<PortionCloser>(*closer.ledger, m_agents, closer.timers, closer.tasks, closer.random, settings);
    Actor &operatorActor = *m_actors[kOperator];
    operatorActor.editor =
        std::make_unique<LedgerEditor>(*operatorActor.ledger, operatorActor.timers, operatorActor.tasks);
}

std::vector<SearchAction> SearchWorld::enabled() const
{
    std::vector<SearchAction> actions;
    for (int i = 0; i < static_cast<int>(m_requests.size()); ++i) {
        const Request &it = m_requests[i];
        const bool isHolderThere = !m_isDead[it.holder];
        if (it.stage == Stage::NotOffered && isHolderThere) {
            actions.push_back({SearchAction::Offer, i});
        } else if (it.stage == Stage::Granted) {
            actions.push_back({SearchAction::Dispatch, i});
            if (mayGoToLateAgent(it)) {
                actions.push_back({SearchAction::DispatchToLate, i});
            }
        } else if (it.stage == Stage::Running) {
            actions.push_back({SearchAction::Finish, i});
        } else if (it.stage == Stage::Finished && isHolderThere) {
            actions.push_back({SearchAction::Settle, i});
        }
    }
    for (int i = 0; i < 2; ++i) {
        if (m_submittedPayments[i] < kSubmissionsOfPayment) {
            actions.push_back({SearchAction::TopUp, i});
        }
        if (!m_isClosing[i]) {
            actions.push_back({SearchAction::Close, i});
        }
        if (m_faults > 0 && !m_isDead[i]) {
            actions.push_back({SearchAction::Kill, i});
        }
    }
    for (int i = 0; i <= kOperator; ++i) {
        const Actor &actor = *m_actors[i];
        const bool isDead = i < kHolders && m_isDead[i];
        if (actor.store.hasWrite()) {
            actions.push_back({SearchAction::Write, i});
            if (m_faults > 0 && !isDead) {
                actions.push_back({SearchAction::LoseAnswer, i});
                actions.push_back({SearchAction::RefuseWrite, i});
                actions.push_back({SearchAction::HoldWriteUp, i});
            }
        } else if (!isDead && actor.timers.pending() > 0) {
            actions.push_back({SearchAction::Tick, i});
        }
    }
    for (int i = 0; i <= kOperator; ++i) {
        if (m_actors[i]->store.hasLateWrite()) {
            actions.push_back({SearchAction::LandLateWrite, i});
        }
        if (i < kHolders && m_isLateAgentThere && m_lateAgentKnownAt[i] == Instant::max() && !m_isDead[i]) {
            actions.push_back({SearchAction::HearOfLateAgent, i});
        }
    }
    if (!m_isLateAgentThere) {
        actions.push_back({SearchAction::StartLateAgent});
    }
    if (m_agentTasks.pending() > 0) {
        actions.push_back({SearchAction::Agent});
    }
    if (m_faults > 0 || m_isAgentSilent) {
        actions.push_back({SearchAction::SilenceAgent});
    }
    return actions;
}

void SearchWorld::apply(const SearchAction &action)
{
    const bool isOfActor = action.kind == SearchAction::Tick || action.kind == SearchAction::Write
        || action.kind == SearchAction::LandLateWrite || action.kind == SearchAction::HearOfLateAgent
        || (action.kind >= SearchAction::LoseAnswer && action.kind <= SearchAction::Kill);
    const int i = action.subject;
    switch (action.kind) {
    case SearchAction::Offer:
        offer(i);
        break;
    case SearchAction::Dispatch:
        dispatch(i, kAgent);
        break;
    case SearchAction::DispatchToLate:
        dispatch(i, kLateAgent);
        break;
    case SearchAction::Finish:
        m_agents.finish(m_requests[i].agent, id(i), m_requests[i].portion, m_requests[i].charge);
        m_charged += m_requests[i].charge;
        m_requests[i].stage = Stage::Finished;
        break;
    case SearchAction::Settle:
        m_actors[m_requests[i].holder]->holder->settle(id(i), m_requests[i].charge).IgnoreError();
        m_requests[i].stage = Stage::Settled;
        break;
    case SearchAction::TopUp:
        topUp(i);
        break;
    case SearchAction::Close:
        m_isClosing[i] = true;
        m_actors[kCloser]->closer->closeHolder(IncarnationId("h" + std::to_string(i)), 0, [](const auto &) {});
        break;
    case SearchAction::Tick:
        tick(*m_actors[i]);
        break;
    case SearchAction::Write:
        m_actors[i]->store.execute(false);
        break;
    case SearchAction::LandLateWrite:
        m_actors[i]->store.landLateWrite();
        break;
    case SearchAction::StartLateAgent:
        m_isLateAgentThere = true;
        m_agents.add(kLateAgent);
        break;
    case SearchAction::HearOfLateAgent:
        m_lateAgentKnownAt[i] = m_actors[i]->timers.now();
        break;
    case SearchAction::Agent:
        m_agentTasks.runOne();
        break;
    case SearchAction::LoseAnswer:
        m_actors[i]->store.execute(true);
        break;
    case SearchAction::RefuseWrite:
        m_actors[i]->store.refuse();
        break;
    case SearchAction::HoldWriteUp:
        m_actors[i]->store.delayWrite();
        break;
    case SearchAction::Kill:
        m_isDead[i] = true;
        // A holder that was closed while it was alive is closed again when it dies.
        m_isClosing[i] = false;
        m_actors[i]->holder.reset();
        m_actors[i]->ledger.reset();
        break;
    case SearchAction::SilenceAgent:
        m_isAgentSilent = !m_isAgentSilent;
        m_agents.setSilent(kAgent, m_isAgentSilent);
        break;
    }
    m_faults -= action.isFault() && !(action.kind == SearchAction::SilenceAgent && !m_isAgentSilent) ? 1 : 0;
    const bool isOfRequest = action.kind <= SearchAction::Settle;
    const int actor = isOfActor              ? i
        : isOfRequest                        ? m_requests[i].holder
        : action.kind == SearchAction::TopUp ? kOperator
                                             : kCloser;
    for (const auto &it : m_actors) {
        settleDown(*it);
    }
    // The state of a process is a function of its inputs and their order.
    const std::array<std::uint64_t, 4> told{static_cast<std::uint64_t>(action.kind), static_cast<std::uint64_t>(i),
                                            m_actors[actor]->store.reads,
                                            actor == kCloser ? m_agents.answerDigest() : 0};
    m_actors[actor]->history = XXH64(told.data(), sizeof told, m_actors[actor]->history);
}

std::uint64_t SearchWorld::digest() const
{
    std::uint64_t sum = static_cast<std::uint64_t>(m_faults) * 2 + (m_isAgentSilent ? 1 : 0);
    for (const auto &it : m_actors) {
        sum = XXH64(&it->history, sizeof it->history, sum);
    }
    for (const Request &it : m_requests) {
        sum = XXH64(&it.stage, sizeof it.stage, sum);
    }
    for (const auto &[key, object] : m_shared.objects) {
        sum = XXH64(object.value.data(), object.value.size(), sum + object.version);
    }
    return sum;
}

std::string SearchWorld::violatedInvariant() const
{
    const BudgetRecord &record = this->record();
    std::int64_t committed = m_charged;
    for (const Request &it : m_requests) {
        committed += it.stage == Stage::Running ? it.tokens : 0;
    }
    if (!record.check().ok()) {
        return "the record breaks its invariant";
    }
    if (committed > record.paid()) {
        return "spent " + std::to_string(committed) + " of " + std::to_string(record.paid());
    }
    if (record.settled() > m_charged) {
        return "settled more than was charged";
    }
    std::int64_t paid = kInitiallyPaid;
    for (int i = 0; i < 2; ++i) {
        paid += m_submittedPayments[i] > 0 ? kPayments[i] : 0;
    }
    return record.paid() > paid ? "a payment was counted twice" : "";
}

std::string SearchWorld::failureAfterFairRun()
{
    m_faults = 0;
    if (m_isAgentSilent) {
        apply({SearchAction::SilenceAgent});
    }
    bool isStopping = false;
    for (int i = 0; i < kFairRounds; ++i) {
        for (const SearchAction &action : enabled()) {
            const bool isIdleClose = action.kind == SearchAction::Close && !m_isDead[action.subject];
            const bool isLaterTopUp = action.kind == SearchAction::TopUp;
            const std::vector<SearchAction> still = enabled();
            const bool isStillEnabled = std::find(still.begin(), still.end(), action) != still.end();
            if (!isIdleClose && !isLaterTopUp && isStillEnabled) {
                apply(action);
            }
            if (const std::string violation = violatedInvariant(); !violation.empty()) {
                return violation;
            }
        }
        if (!isStopping && isEverythingDone()) {
            isStopping = true;
            for (int j = 0; j < kHolders; ++j) {
                if (!m_isDead[j]) {
                    m_actors[j]->holder->stop([] {});
                }
            }
        }
        if (isStopping && record().portions().empty() && record().settled() == m_charged) {
            return "";
        }
    }
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        if (m_requests[i].stage == Stage::Waiting && !m_isDead[m_requests[i].holder]) {
            return "request " + std::to_string(i) + " was never answered";
        }
    }
    return "charged " + std::to_string(m_charged) + ", settled " + std::to_string(record().settled()) + ", in portions "
        + std::to_string(record().granted());
}

RequestId SearchWorld::id(int request) const
{
    return RequestId("r" + std::to_string(request));
}

void SearchWorld::offer(int request)
{
    Request &it = m_requests[request];
    it.stage = Stage::Waiting;
    Actor &actor = *m_actors[it.holder];
    const Instant deadline = actor.timers.now() + std::chrono::seconds(10);
    actor.holder->reserve({id(request), kBudget, it.tokens, deadline},
                          [&it](const absl::StatusOr<Reservation> &answer) {
                              it.stage = answer.ok() ? Stage::Granted : Stage::Refused;
                              it.portion = answer.ok() ? answer->portion : PortionId();
                              it.confirmedAt = answer.ok() ? answer->confirmedAt : Instant::min();
                          });
}

bool SearchWorld::mayGoToLateAgent(const Request &request) const
{
    return m_lateAgentKnownAt[request.holder] < request.confirmedAt;
}

void SearchWorld::dispatch(int request, const std::string &agent)
{
    Request &it = m_requests[request];
    it.agent = agent;
    if (m_agents.start(agent, id(request), it.portion)) {
        it.stage = Stage::Running;
        return;
    }
    it.stage = Stage::Refused;
    if (!m_isDead[it.holder]) {
        m_actors[it.holder]->holder->release(id(request));
    }
}

void SearchWorld::tick(Actor &actor)
{
    for (int i = 0; i < kTicksOfOneStep && !actor.store.hasWrite(); ++i) {
        const std::uint64_t reads = actor.store.reads;
        actor.timers.fireNext();
        settleDown(actor);
        if (actor.store.reads != reads) {
            return;
        }
    }
}

void SearchWorld::topUp(int payment)
{
    ++m_submittedPayments[payment];
    m_actors[kOperator]->editor->topUp(kBudget, PaymentId("p" + std::to_string(payment)), kPayments[payment], "ann",
                                       [](const auto &) {});
}

void SearchWorld::settleDown(Actor &actor)
{
    actor.tasks.runAll();
}

const BudgetRecord &SearchWorld::record() const
{
    const StoredObject &object = m_shared.objects.at("ledger/0000");
    if (object.version != m_recordVersion) {
        m_record = *LedgerShard::fromJson(object.value).value().find(kBudget);
        m_recordVersion = object.version;
    }
    return m_record;
}

bool SearchWorld::isEverythingDone() const
{
    for (const Request &it : m_requests) {
        const bool isDone = it.stage == Stage::Settled || it.stage == Stage::Refused;
        const bool isLost = m_isDead[it.holder] && (it.stage == Stage::NotOffered || it.stage == Stage::Waiting);
        const bool isCharged = m_isDead[it.holder] && it.stage == Stage::Finished;
        if (!isDone && !isLost && !isCharged) {
            return false;
        }
    }
    return true;
}

}
