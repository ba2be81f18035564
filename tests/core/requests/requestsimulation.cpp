#include "requestsimulation.h"

#include <algorithm>

using namespace RadishSwitch;

namespace
{

/// Longer than the deadlines of the calls and the longest backoff.
constexpr Duration kSettlingTime = std::chrono::minutes(2);

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

/// Splits a step's text "verb object" in two.
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

class RequestSimulation::RecordingStore : public ObjectStore
{
public:
    RecordingStore(RequestSimulation &simulation, std::string entry)
        : m_simulation(simulation)
        , m_entry(std::move(entry))
    {
    }

    void get(const std::string &key, Callback<StoredObject> callback) override
    {
        m_simulation.m_store.get(key, [this, key, callback](const absl::StatusOr<StoredObject> &object) {
            m_simulation.recordEvent(m_entry, "read " + key + (object.ok() ? object->value : ""));
            callback(object);
        });
    }

    void put(const std::string &key, std::string value, std::uint64_t version,
             Callback<std::uint64_t> callback) override
    {
        m_simulation.m_store.put(key, value, version, [this, key, value, callback](const auto &written) {
            m_simulation.recordEvent(m_entry, "wrote " + key + std::string(written.status().message()));
            callback(written);
        });
    }

    void remove(const std::string &key, std::uint64_t version, std::function<void(absl::Status)> callback) override
    {
        m_simulation.m_store.remove(key, version, std::move(callback));
    }

    void list(const std::string &prefix, Callback<StoreChanges> callback) override
    {
        m_simulation.m_store.list(prefix, std::move(callback));
    }

    void watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback) override
    {
        m_simulation.m_store.watch(prefix, fromVersion, std::move(callback));
    }

private:
    RequestSimulation &m_simulation;
    const std::string m_entry;
};

RequestSimulation::RequestSimulation(std::vector<PlannedCall> calls, FaultLimits limits)
    : m_remaining(limits)
    , m_limits(limits)
{
    for (PlannedCall &call : calls) {
        m_calls.emplace_back().plan = std::move(call);
    }
    std::uint64_t seed = 0;
    for (const std::string name : {"first", "second"}) {
        m_recordingStores[name] = std::make_unique<RecordingStore>(*this, name);
        m_entries[name] = std::make_unique<SmallEntry>(name, m_timers, m_tasks, *m_recordingStores[name], m_agents,
                                                       *this, settings(), SmallFleet::kTokens, ++seed);
    }
}

RequestSimulation::~RequestSimulation() = default;

std::string RequestSimulation::otherEntry(const std::string &entry)
{
    return entry == "first" ? "second" : "first";
}

bool RequestSimulation::isAlive(const std::string &name) const
{
    const auto it = m_entries.find(name);
    return it == m_entries.end() ? m_agents.isAlive(name) : it->second->home != nullptr;
}

void RequestSimulation::recordEvent(const std::string &part, const std::string &what)
{
    m_histories[part] += what + " @" + std::to_string(m_timers.now().time_since_epoch().count()) + "\n";
}

void RequestSimulation::carry(CarriedMessage message)
{
    const std::string label = message.from + "#" + std::to_string(++m_sent[message.from]);
    m_pendingMessages.push_back({label, std::move(message)});
}

void RequestSimulation::send(std::string from, std::string to, std::string text, std::function<void()> deliver,
                             std::function<void()> lose)
{
    carry({std::move(from), std::move(to), std::move(text), std::move(deliver), std::move(lose)});
}

std::vector<std::string> RequestSimulation::steps() const
{
    std::vector<std::string> steps;
    for (std::size_t n = 0; n < m_calls.size(); ++n) {
        if (m_calls[n].state == CallState::NotAsked && isAlive(m_calls[n].plan.entry)) {
            steps.push_back("ask " + std::to_string(n));
        }
    }
    for (const PendingMessage &pending : m_pendingMessages) {
        steps.push_back("deliver " + pending.label);
        if (m_remaining.losses > 0 && pending.message.lose) {
            steps.push_back("lose " + pending.label);
        }
        if (m_remaining.copies > 0 && pending.message.text == "run" && !pending.isCopy) {
            steps.push_back("copy " + pending.label);
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
        if (m_remaining.entryDeaths > 0) {
            steps.push_back("kill " + name);
        }
        if (m_remaining.falseDeaths > 0) {
            steps.push_back("suspect " + name);
        }
    }
    for (const std::string &address : m_agents.listed()) {
        if (m_remaining.agentDeaths > 0) {
            steps.push_back("crash " + address);
        }
    }
    if (m_remaining.timers > 0 && m_timers.pending() > 0) {
        steps.push_back("time passes");
    }
    if (m_remaining.lostStoreAnswers > 0) {
        steps.push_back("store loses answer");
    }
    return steps;
}

void RequestSimulation::apply(const std::string &text)
{
    const Step step(text);
    m_trace += text;
    for (const PendingMessage &pending : m_pendingMessages) {
        if (pending.label == step.object) {
            m_trace += ": " + pending.message.from + " to " + pending.message.to + ": " + pending.message.text;
        }
    }
    m_trace += "\n";
    if (step.verb == "ask") {
        const std::size_t n = std::stoul(step.object);
        m_calls[n].state = CallState::Open;
        recordEvent(m_calls[n].plan.entry, text);
        ask(n, m_calls[n].plan.entry, 0);
    } else if (step.verb == "deliver") {
        const PendingMessage pending = takeMessage(step.object);
        recordEvent(pending.message.to, text);
        if (isAlive(pending.message.to)) {
            pending.message.deliver();
        } else if (pending.message.lose) {
            pending.message.lose();
        }
    } else if (step.verb == "lose") {
        --m_remaining.losses;
        const PendingMessage pending = takeMessage(step.object);
        recordEvent(pending.message.from, text);
        recordEvent(pending.message.to, text);
        pending.message.lose();
    } else if (step.verb == "copy") {
        --m_remaining.copies;
        const auto it =
            std::find_if(m_pendingMessages.begin(), m_pendingMessages.end(), [&](const PendingMessage &pending) {
                return pending.label == step.object;
            });
        recordEvent("network", text);
        m_pendingMessages.push_back({step.object + "'", it->message, true});
    } else if (step.verb == "finish") {
        finishRun(AttemptId(step.object));
    } else if (step.verb == "kill") {
        --m_remaining.entryDeaths;
        killEntry(step.object);
    } else if (step.verb == "close") {
        recordEvent("agents", text);
        closePortionOf(step.object);
    } else if (step.verb == "suspect") {
        --m_remaining.falseDeaths;
        recordEvent(otherEntry(step.object), text);
        m_entries[otherEntry(step.object)]->directory.setLiveness(IncarnationId(step.object), EntryLiveness::Dead);
    } else if (step.verb == "crash") {
        --m_remaining.agentDeaths;
        killAgent(step.object);
    } else if (step.verb == "time") {
        --m_remaining.timers;
        m_timers.fireNext();
        recordEvent("network", text);
    } else if (step.verb == "store") {
        --m_remaining.lostStoreAnswers;
        recordEvent("store", text);
        m_store.loseAnswersOfNextWrites(1);
    }
    m_tasks.runAll();
}

RequestSimulation::PendingMessage RequestSimulation::takeMessage(const std::string &label)
{
    const auto it =
        std::find_if(m_pendingMessages.begin(), m_pendingMessages.end(), [&](const PendingMessage &pending) {
            return pending.label == label;
        });
    PendingMessage pending = std::move(*it);
    m_pendingMessages.erase(it);
    return pending;
}

void RequestSimulation::killEntry(const std::string &name)
{
    recordEvent(name, "killed");
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

void RequestSimulation::killAgent(const std::string &address)
{
    recordEvent(address, "killed");
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

std::vector<PortionCharges::Charge> RequestSimulation::closePortionOf(const std::string &entry)
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

int RequestSimulation::billsOf(const RequestId &request)
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

std::optional<std::string> RequestSimulation::violation()
{
    for (const Call &call : m_calls) {
        const AdmissionQuery &query = call.plan.query;
        if (query.isNonIdempotent && m_starts[query.request] > 1) {
            return "a non-idempotent request ran twice";
        }
        if (billsOf(query.request) > 1) {
            return "a request was billed twice";
        }
    }
    for (const auto &[name, entry] : m_entries) {
        if (entry->reservations.reservedTwice() > 0) {
            return "a request reserved twice";
        }
    }
    return m_violation;
}

bool RequestSimulation::isEvidenceLost() const
{
    const bool isWithheld = std::ranges::any_of(m_entries, [this](const auto &item) {
        const auto it = m_withheldOfDead.find(item.first);
        return item.second->reservations.withheld() > 0 || (it != m_withheldOfDead.end() && it->second > 0);
    });
    return isWithheld || m_remaining.agentDeaths < m_limits.agentDeaths;
}

std::optional<std::string> RequestSimulation::violationAtRest()
{
    const Instant end = m_timers.now() + kSettlingTime;
    while (!m_pendingMessages.empty() || !m_running.empty() || m_timers.now() < end) {
        if (!m_pendingMessages.empty()) {
            apply("deliver " + m_pendingMessages.front().label);
        } else if (!m_running.empty()) {
            apply("finish " + m_running.begin()->first.value());
        } else {
            m_timers.fireNext();
            m_tasks.runAll();
        }
    }
    for (const Call &call : m_calls) {
        if (call.state == CallState::Open) {
            return "a call is stuck";
        }
        if (call.state == CallState::Answered && billsOf(call.plan.query.request) == 0 && !isEvidenceLost()) {
            return "an answered request was not billed";
        }
    }
    for (const auto &[name, entry] : m_entries) {
        if (entry->home && (entry->reservations.reserved() > 0 || entry->home->openRequests() > 0)) {
            return "a reservation is stuck at " + name;
        }
    }
    return violation();
}

std::string RequestSimulation::trace() const
{
    return m_trace;
}

std::string RequestSimulation::digest() const
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
