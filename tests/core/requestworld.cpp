#include "requestworld.h"

#include <algorithm>

using namespace RadishSwitch;

namespace
{

constexpr std::int64_t kUsed = 60;
/// Longer than the deadlines of the calls and the longest pause between two tries.
constexpr Duration kRest = std::chrono::minutes(2);

HomeSettings settings()
{
    HomeSettings settings;
    settings.lastBackoff = std::chrono::seconds(2);
    settings.claims.lastBackoff = std::chrono::seconds(2);
    settings.tick = std::chrono::seconds(20);
    settings.ownership.checkInterval = std::chrono::seconds(40);
    settings.ownership.isWatching = false;
    return settings;
}

std::string other(const std::string &entry)
{
    return entry == "first" ? "second" : "first";
}

/// "verb object" in two.
struct Step {
    std::string verb;
    std::string object;

    explicit Step(const std::string &text)
        : verb(text.substr(0, text.find(' ')))
        , object(text.substr(text.find(' ') + 1))
    {
    }
};

}

class RequestWorld::WatchedStore : public ObjectStore
{
public:
    WatchedStore(RequestWorld &world, std::string entry)
        : m_world(world)
        , m_entry(std::move(entry))
    {
    }

    void get(const std::string &key, Callback<StoredObject> callback) override
    {
        m_world.m_store.get(key, [this, key, callback](const absl::StatusOr<StoredObject> &object) {
            m_world.note(m_entry, "read " + key + (object.ok() ? object->value : ""));
            callback(object);
        });
    }

    void put(const std::string &key, std::string value, std::uint64_t version,
             Callback<std::uint64_t> callback) override
    {
        m_world.m_store.put(key, value, version, [this, key, value, callback](const auto &written) {
            m_world.note(m_entry, "wrote " + key + std::string(written.status().message()));
            callback(written);
        });
    }

    void remove(const std::string &key, std::uint64_t version, std::function<void(absl::Status)> callback) override
    {
        m_world.m_store.remove(key, version, std::move(callback));
    }

    void list(const std::string &prefix, Callback<StoreChanges> callback) override
    {
        m_world.m_store.list(prefix, std::move(callback));
    }

    void watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback) override
    {
        m_world.m_store.watch(prefix, fromVersion, std::move(callback));
    }

private:
    RequestWorld &m_world;
    const std::string m_entry;
};

RequestWorld::RequestWorld(std::vector<PlannedCall> calls, FaultLimits limits)
    : m_left(limits)
    , m_limits(limits)
{
    for (PlannedCall &call : calls) {
        m_calls.emplace_back().plan = std::move(call);
    }
    std::uint64_t seed = 0;
    for (const std::string name : {"first", "second"}) {
        m_watchedStores[name] = std::make_unique<WatchedStore>(*this, name);
        m_entries[name] = std::make_unique<SmallEntry>(name, m_timers, m_tasks, *m_watchedStores[name], m_agents, *this,
                                                       settings(), SmallFleet::kTokens, ++seed);
    }
}

RequestWorld::~RequestWorld() = default;

bool RequestWorld::isAlive(const std::string &name) const
{
    const auto it = m_entries.find(name);
    return it == m_entries.end() ? m_agents.isAlive(name) : it->second->home != nullptr;
}

void RequestWorld::note(const std::string &part, const std::string &what)
{
    m_histories[part] += what + " @" + std::to_string(m_timers.now().time_since_epoch().count()) + "\n";
}

void RequestWorld::carry(CarriedMessage message)
{
    const std::string label = message.from + "#" + std::to_string(++m_sent[message.from]);
    m_held.push_back({label, std::move(message)});
}

void RequestWorld::send(std::string from, std::string to, std::string text, std::function<void()> deliver,
                        std::function<void()> lose)
{
    carry({std::move(from), std::move(to), std::move(text), std::move(deliver), std::move(lose)});
}

std::vector<std::string> RequestWorld::steps() const
{
    std::vector<std::string> steps;
    for (std::size_t n = 0; n < m_calls.size(); ++n) {
        if (m_calls[n].state == CallState::NotAsked && isAlive(m_calls[n].plan.entry)) {
            steps.push_back("ask " + std::to_string(n));
        }
    }
    for (const Held &held : m_held) {
        steps.push_back("deliver " + held.label);
        if (m_left.losses > 0 && held.message.lose) {
            steps.push_back("lose " + held.label);
        }
        if (m_left.copies > 0 && held.message.text == "run" && !held.isCopy) {
            steps.push_back("copy " + held.label);
        }
    }
    for (const auto &[attempt, run] : m_running) {
        steps.push_back("finish " + attempt.value());
    }
    for (const auto &[name, entry] : m_entries) {
        if (!entry->home) {
            if (!m_withheldOfDead.contains(name)) {
                steps.push_back("close " + name);
            }
            continue;
        }
        if (m_left.entryDeaths > 0) {
            steps.push_back("kill " + name);
        }
        if (m_left.wrongDeaths > 0) {
            steps.push_back("doubt " + name);
        }
    }
    for (const std::string &address : m_agents.listed()) {
        if (m_left.agentDeaths > 0) {
            steps.push_back("crash " + address);
        }
    }
    if (m_left.timers > 0 && m_timers.pending() > 0) {
        steps.push_back("time passes");
    }
    if (m_left.lostStoreAnswers > 0) {
        steps.push_back("store forgets");
    }
    return steps;
}

void RequestWorld::take(const std::string &text)
{
    const Step step(text);
    m_story += text;
    for (const Held &held : m_held) {
        if (held.label == step.object) {
            m_story += ": " + held.message.from + " to " + held.message.to + ": " + held.message.text;
        }
    }
    m_story += "\n";
    if (step.verb == "ask") {
        const std::size_t n = std::stoul(step.object);
        m_calls[n].state = CallState::Open;
        note(m_calls[n].plan.entry, text);
        ask(n, m_calls[n].plan.entry, 0);
    } else if (step.verb == "deliver") {
        const Held held = takeHeld(step.object);
        note(held.message.to, text);
        if (isAlive(held.message.to)) {
            held.message.deliver();
        } else if (held.message.lose) {
            held.message.lose();
        }
    } else if (step.verb == "lose") {
        --m_left.losses;
        const Held held = takeHeld(step.object);
        note(held.message.from, text);
        note(held.message.to, text);
        held.message.lose();
    } else if (step.verb == "copy") {
        --m_left.copies;
        const auto it = std::find_if(m_held.begin(), m_held.end(), [&](const Held &held) {
            return held.label == step.object;
        });
        note("network", text);
        m_held.push_back({step.object + "'", it->message, true});
    } else if (step.verb == "finish") {
        finishRun(AttemptId(step.object));
    } else if (step.verb == "kill") {
        --m_left.entryDeaths;
        killEntry(step.object);
    } else if (step.verb == "close") {
        note("agents", text);
        closePortionOf(step.object);
    } else if (step.verb == "doubt") {
        --m_left.wrongDeaths;
        note(other(step.object), text);
        m_entries[other(step.object)]->directory.setLiveness(IncarnationId(step.object), EntryLiveness::Dead);
    } else if (step.verb == "crash") {
        --m_left.agentDeaths;
        killAgent(step.object);
    } else if (step.verb == "time") {
        --m_left.timers;
        m_timers.fireNext();
        note("network", text);
    } else if (step.verb == "store") {
        --m_left.lostStoreAnswers;
        note("store", text);
        m_store.loseAnswersOfNextWrites(1);
    }
    m_tasks.runAll();
}

RequestWorld::Held RequestWorld::takeHeld(const std::string &label)
{
    const auto it = std::find_if(m_held.begin(), m_held.end(), [&](const Held &held) {
        return held.label == label;
    });
    Held held = std::move(*it);
    m_held.erase(it);
    return held;
}

void RequestWorld::ask(std::size_t n, const std::string &home, int hops)
{
    m_entries[home]->home->admit(m_calls[n].plan.question, [this, n, home, hops](const auto &decision) {
        const std::string &entry = m_calls[n].plan.entry;
        if (home == entry) {
            return hear(n, home, hops, decision);
        }
        const auto lost = [this, n, home, decision] {
            if (decision.ok() && std::holds_alternative<Grant>(*decision) && isAlive(home)) {
                m_entries[home]->home->abandon(m_calls[n].plan.question.request, std::get<Grant>(*decision).attempt);
            }
            refuse(n, RunOutcome::Unknown);
        };
        send(
            home, entry, "decision",
            [this, n, home, hops, decision] {
                hear(n, home, hops, decision);
            },
            lost);
    });
}

void RequestWorld::hear(std::size_t n, const std::string &home, int hops, const absl::StatusOr<AdmitDecision> &decision)
{
    Call &call = m_calls[n];
    if (!decision.ok()) {
        const bool isElsewhere = failureCode(decision.status()) == FailureCode::HomeElsewhere;
        if (!isElsewhere || hops > 0) {
            return refuse(n, outcomeOf(decision.status()));
        }
        return send(
            call.plan.entry, other(home), "admit",
            [this, n, home] {
                ask(n, other(home), 1);
            },
            [this, n] {
                refuse(n, RunOutcome::Unknown);
            });
    }
    if (const auto *duplicate = std::get_if<DuplicateRun>(&*decision)) {
        return send(
            call.plan.entry, duplicate->agentAddress, "attach",
            [this, n, run = *duplicate] {
                attach(n, run);
            },
            [this, n] {
                refuse(n, RunOutcome::Unknown);
            });
    }
    call.home = home;
    call.grant = std::get<Grant>(*decision);
    tellHome(n, "dispatched",
             [request = call.plan.question.request, attempt = call.grant.attempt, agent = call.plan.agent](Home &home) {
                 home.noteDispatched(request, attempt, agent);
             });
    send(
        call.plan.entry, call.plan.agent, "run",
        [this, n] {
            startRun(n);
        },
        [this, n] {
            abandonAtHome(n);
            refuse(n, RunOutcome::Unknown);
        });
}

void RequestWorld::startRun(std::size_t n)
{
    const Call &call = m_calls[n];
    const AdmitQuestion &question = call.plan.question;
    RunTable *table = m_agents.table(call.plan.agent);
    if (!table) {
        return;
    }
    const auto decision = table->start({question.request, call.grant.attempt, call.grant.portion, call.grant.shard,
                                        call.grant.epoch, call.grant.reservedTokens, question.fingerprint,
                                        question.isNonIdempotent, call.grant.isProvisional});
    if (!decision.ok()) {
        return send(
            call.plan.agent, call.plan.entry, "refused",
            [this, n] {
                tellHome(n, "settle",
                         [request = m_calls[n].plan.question.request, attempt = m_calls[n].grant.attempt](Home &home) {
                             home.settle(request, {0, true, false, attempt});
                         });
                refuse(n, RunOutcome::Unknown);
            },
            nullptr);
    }
    if (decision->action == RunDecision::Action::Start) {
        ++m_starts[question.request];
        m_running[call.grant.attempt] = {call.plan.agent, {n}};
        return;
    }
    attach(n, {call.plan.agent, decision->record.attempt, false});
}

void RequestWorld::attach(std::size_t n, const DuplicateRun &run)
{
    const auto it = m_running.find(run.attempt);
    if (it != m_running.end()) {
        it->second.readers.push_back(n);
        return;
    }
    if (RunTable *table = m_agents.table(run.agentAddress)) {
        const RunRecord record = table->find(m_calls[n].plan.question.request, run.attempt);
        send(
            run.agentAddress, m_calls[n].plan.entry, "answer",
            [this, n, record] {
                read(n, record);
            },
            nullptr);
    }
}

void RequestWorld::finishRun(const AttemptId &attempt)
{
    const Run run = m_running.extract(attempt).mapped();
    note(run.agent, "finish " + attempt.value());
    m_agents.table(run.agent)->noteDone(attempt, kUsed);
    for (const std::size_t n : run.readers) {
        sendAnswer(n, run.agent, attempt);
    }
}

void RequestWorld::sendAnswer(std::size_t n, const std::string &agent, const AttemptId &attempt)
{
    const RunRecord record = m_agents.table(agent)->find(m_calls[n].plan.question.request, attempt);
    send(
        agent, m_calls[n].plan.entry, "answer",
        [this, n, record] {
            read(n, record);
        },
        [this, n] {
            giveUp(n);
        });
}

void RequestWorld::read(std::size_t n, const RunRecord &record)
{
    Call &call = m_calls[n];
    if (call.state != CallState::Open) {
        return;
    }
    if (record.state != RunState::Done) {
        return refuse(n, RunOutcome::Unknown);
    }
    call.state = CallState::Answered;
    const bool isOwn = record.attempt == call.grant.attempt;
    // The answer of another attempt is billed with that attempt; the own one was barred at the agent.
    const Settlement settlement{isOwn ? record.chargedTokens : 0, !isOwn, false, call.grant.attempt};
    tellHome(n, "settle", [request = record.request, settlement](Home &home) {
        home.settle(request, settlement);
    });
}

void RequestWorld::tellHome(std::size_t n, const std::string &text, std::function<void(Home &)> tell)
{
    const Call &call = m_calls[n];
    if (call.home.empty()) {
        return;
    }
    const auto deliver = [this, home = call.home, tell = std::move(tell)] {
        if (isAlive(home)) {
            tell(*m_entries[home]->home);
        }
    };
    if (call.home == call.plan.entry) {
        return deliver();
    }
    // When the stream breaks, the home takes the entry for gone.
    send(call.plan.entry, call.home, text, deliver, [this, n] {
        abandonAtHome(n);
    });
}

void RequestWorld::abandonAtHome(std::size_t n)
{
    const Call &call = m_calls[n];
    if (!call.home.empty() && isAlive(call.home)) {
        m_entries[call.home]->home->abandon(call.plan.question.request, call.grant.attempt);
    }
}

/// The entry lost its agent and leaves the rest to the home.
void RequestWorld::giveUp(std::size_t n)
{
    if (m_calls[n].state == CallState::Open) {
        tellHome(n, "abandon", [this, n](Home &) {
            abandonAtHome(n);
        });
        refuse(n, RunOutcome::Unknown);
    }
}

void RequestWorld::refuse(std::size_t n, RunOutcome outcome)
{
    Call &call = m_calls[n];
    if (call.state != CallState::Open) {
        return;
    }
    call.state = CallState::Refused;
    if (outcome == RunOutcome::NotRun && m_starts[call.plan.question.request] > 0) {
        m_broken = "\"not run\" was said of a request that ran";
    }
}

void RequestWorld::killEntry(const std::string &name)
{
    note(name, "killed");
    m_entries[name]->home.reset();
    m_entries[other(name)]->directory.setLiveness(IncarnationId(name), EntryLiveness::Dead);
    for (std::size_t n = 0; n < m_calls.size(); ++n) {
        Call &call = m_calls[n];
        if (call.plan.entry != name) {
            continue;
        }
        const bool hasStream = call.home == other(name) && call.state == CallState::Open;
        if (hasStream && isAlive(call.home)) {
            send(
                name, call.home, "stream closed",
                [this, n] {
                    abandonAtHome(n);
                },
                nullptr);
        }
        if (call.state == CallState::Open) {
            call.state = CallState::Refused;
        }
    }
}

void RequestWorld::killAgent(const std::string &address)
{
    note(address, "killed");
    m_agents.kill(address);
    m_agents.unlist(address);
    for (auto it = m_running.begin(); it != m_running.end();) {
        if (it->second.agent != address) {
            ++it;
            continue;
        }
        for (const std::size_t n : it->second.readers) {
            send(
                address, m_calls[n].plan.entry, "connection lost",
                [this, n] {
                    giveUp(n);
                },
                nullptr);
        }
        it = m_running.erase(it);
    }
}

std::vector<PortionCharges::Charge> RequestWorld::closePortionOf(const std::string &entry)
{
    std::vector<PortionCharges::Charge> charges;
    m_withheldOfDead[entry] = 0;
    for (const std::string &address : m_agents.listed()) {
        const auto closed = m_agents.table(address)->closePortions({PortionId("portion-of-" + entry)});
        m_withheldOfDead[entry] += closed.front().provisionalTokens;
        const auto &found = closed.front().charges;
        charges.insert(charges.end(), found.begin(), found.end());
    }
    return charges;
}

int RequestWorld::billsOf(const RequestId &request)
{
    std::ptrdiff_t bills = 0;
    for (const auto &[name, entry] : m_entries) {
        if (entry->home) {
            bills += std::ssize(entry->reservations.billsOf(request));
        } else {
            // A dead holder is billed by what the agents charged to its portion.
            bills += std::ranges::count(closePortionOf(name), request, &PortionCharges::Charge::request);
        }
    }
    return static_cast<int>(bills);
}

std::optional<std::string> RequestWorld::brokenPromise()
{
    for (const Call &call : m_calls) {
        const AdmitQuestion &question = call.plan.question;
        if (question.isNonIdempotent && m_starts[question.request] > 1) {
            return "a non-idempotent request ran twice";
        }
        if (billsOf(question.request) > 1) {
            return "a request was billed twice";
        }
    }
    for (const auto &[name, entry] : m_entries) {
        if (entry->reservations.reservedTwice() > 0) {
            return "a request reserved twice";
        }
    }
    return m_broken;
}

bool RequestWorld::isProofLost() const
{
    const bool isWithheld = std::ranges::any_of(m_entries, [this](const auto &item) {
        const auto it = m_withheldOfDead.find(item.first);
        return item.second->reservations.withheld() > 0 || (it != m_withheldOfDead.end() && it->second > 0);
    });
    return isWithheld || m_left.agentDeaths < m_limits.agentDeaths;
}

std::optional<std::string> RequestWorld::brokenPromiseAtRest()
{
    const Instant end = m_timers.now() + kRest;
    while (!m_held.empty() || !m_running.empty() || m_timers.now() < end) {
        if (!m_held.empty()) {
            take("deliver " + m_held.front().label);
        } else if (!m_running.empty()) {
            take("finish " + m_running.begin()->first.value());
        } else {
            m_timers.fireNext();
            m_tasks.runAll();
        }
    }
    for (const Call &call : m_calls) {
        if (call.state == CallState::Open) {
            return "a call is stuck";
        }
        if (call.state == CallState::Answered && billsOf(call.plan.question.request) == 0 && !isProofLost()) {
            return "an answered request was not billed";
        }
    }
    for (const auto &[name, entry] : m_entries) {
        if (entry->home && (entry->reservations.reserved() > 0 || entry->home->openRequests() > 0)) {
            return "a reservation is stuck at " + name;
        }
    }
    return brokenPromise();
}

std::string RequestWorld::story() const
{
    return m_story;
}

std::string RequestWorld::digest() const
{
    std::string digest;
    for (const auto &[part, history] : m_histories) {
        digest += part + ":\n" + history;
    }
    for (const auto &[key, object] : m_store.objects()) {
        digest += key + "=" + object.value + "\n";
    }
    return digest;
}
