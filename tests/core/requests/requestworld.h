#pragma once

#include "smallfleet.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// A caller's call of one request at one entry, which sends a granted run to this agent.
struct PlannedCall {
    RadishSwitch::AdmitQuestion question;
    std::string entry;
    std::string agent;
};

/// What may go wrong, and how often, on one way through the world.
struct FaultLimits {
    int losses = 0;
    int copies = 0;
    int entryDeaths = 0;
    int agentDeaths = 0;
    /// Entries that are taken for dead although they live.
    int wrongDeaths = 0;
    int lostStoreAnswers = 0;
    int timers = 0;
};

/// Two entries with real homes, two agents with real run tables, and callers, one step at a time: every message waits
/// until a step delivers, loses or copies it. What an entry does around its home is reduced to a few lines.
class RequestWorld : public Courier
{
public:
    RequestWorld(std::vector<PlannedCall> calls, FaultLimits limits);
    ~RequestWorld() override;

    /// All steps that can be taken now.
    std::vector<std::string> steps() const;
    void take(const std::string &step);

    /// A digest of all that happened to each part, in the order in which it happened to that part. Two ways to the same
    /// digest lead to the same state: they differ in the order of steps that did not touch one another.
    std::string digest() const;

    /// Lets everything come to rest without further faults, closes the portions of dead entries, and gives the first
    /// promise that is broken, or nothing.
    std::optional<std::string> brokenPromiseAtRest();

    /// What happened, step by step, the way to rest included.
    std::string story() const;

    void carry(CarriedMessage message) override;

private:
    enum class CallState {
        NotAsked,
        Open,
        Answered,
        Refused,
    };

    struct Call {
        PlannedCall plan;
        CallState state = CallState::NotAsked;
        /// Whose home granted it.
        std::string home;
        RadishSwitch::Grant grant;
    };

    struct Held {
        std::string label;
        CarriedMessage message;
        bool isCopy = false;
    };

    struct Run {
        std::string agent;
        /// Calls that read its answer.
        std::vector<std::size_t> readers;
    };

    /// The store as one entry sees it: what it answers is part of what happened to the entry.
    class WatchedStore;

    static std::string otherEntry(const std::string &entry);
    bool isAlive(const std::string &name) const;
    void note(const std::string &part, const std::string &what);
    void send(std::string from, std::string to, std::string text, std::function<void()> deliver,
              std::function<void()> lose);
    Held takeHeld(const std::string &label);

    void ask(std::size_t n, const std::string &home, int hops);
    void hear(std::size_t n, const std::string &home, int hops,
              const absl::StatusOr<RadishSwitch::AdmitDecision> &decision);
    void startRun(std::size_t n);
    void attach(std::size_t n, const RadishSwitch::DuplicateRun &run);
    void finishRun(const RadishSwitch::AttemptId &attempt);
    void sendAnswer(std::size_t n, const std::string &agent, const RadishSwitch::AttemptId &attempt);
    void read(std::size_t n, const RadishSwitch::RunRecord &record);
    void tellHome(std::size_t n, const std::string &text, std::function<void(RadishSwitch::Home &)> tell);
    void abandonAtHome(std::size_t n);
    void giveUp(std::size_t n);
    void refuse(std::size_t n, RadishSwitch::RunOutcome outcome);
    void killEntry(const std::string &name);
    void killAgent(const std::string &address);

    std::optional<std::string> brokenPromise();
    std::vector<RadishSwitch::PortionCharges::Charge> closePortionOf(const std::string &entry);
    int billsOf(const RadishSwitch::RequestId &request);
    bool isProofLost() const;

    std::vector<Call> m_calls;
    FaultLimits m_left;
    const FaultLimits m_limits;
    VirtualTimerService m_timers;
    ManualTaskQueue m_tasks;
    MemoryObjectStore m_store{m_tasks};
    MemoryAgents m_agents{m_timers, {"agent-1", "agent-2"}};
    std::map<std::string, std::unique_ptr<WatchedStore>> m_watchedStores;
    std::map<std::string, std::unique_ptr<SmallEntry>> m_entries;
    std::vector<Held> m_held;
    std::map<std::string, int> m_sent;
    std::map<std::string, std::string> m_histories;
    std::map<RadishSwitch::AttemptId, Run> m_running;
    std::map<RadishSwitch::RequestId, int> m_starts;
    /// By dead entry whose portion was closed: what agents charged to it and nobody can bill.
    std::map<std::string, std::int64_t> m_withheldOfDead;
    std::string m_story;
    std::optional<std::string> m_broken;
};
