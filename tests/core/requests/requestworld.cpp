#include "requestworld.h"

#include <algorithm>

using namespace RadishSwitch;

namespace
{

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

std::string RequestWorld::otherEntry(const std::string &entry)
{
    return entry == "first" ? "second" : "first";
}

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
        note(otherEntry(step.object), text);
        m_entries[otherEntry(step.object)]->directory.setLiveness(IncarnationId(step.object), EntryLiveness::Dead);
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

void RequestWorld::killEntry(const std::string &name)
{
    note(name, "killed");
    m_entries[name]->home.reset();
    m_entries[otherEntry(name)]->directory.setLiveness(IncarnationId(name), EntryLiveness::Dead);
    for (std::size_t n = 0; n < m_calls.size(); ++n) {
        Call &call = m_calls[n];
        if (call.plan.entry != name) {
            continue;
        }
        const bool hasStream = call.home == otherEntry(name) && call.state == CallState::Open;
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
