#pragma once

#include "smallfleet.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// A caller's call of one request at one entry. If the request is granted, the entry sends its run to this agent.
struct PlannedCall {
    RadishSwitch::AdmissionQuery query;
    std::string entry;
    std::string agent;
};

/// How often each fault may occur in one sequence of steps.
struct FaultLimits {
    int losses = 0;
    int copies = 0;
    int entryDeaths = 0;
    int agentDeaths = 0;
    /// How often a living entry may be considered dead by the other one.
    int falseDeaths = 0;
    int lostStoreAnswers = 0;
    int timers = 0;
};

/// Simulates two entries with real homes, two agents with real run tables, and callers, one step at a time. Each
/// message waits until a step delivers, loses or duplicates it. The parts of an entry around its home are reduced to a
/// few lines.
class RequestSimulation : public Courier
{
public:
    RequestSimulation(std::vector<PlannedCall> calls, FaultLimits limits);
    ~RequestSimulation() override;

    /// All steps that are possible in the current state.
    std::vector<std::string> steps() const;
    void apply(const std::string &step);

    /// The history of each part, in the order of its events, and the contents of the store. Two sequences of steps with
    /// the same digest lead to the same state: they differ only in the order of steps that do not affect each other.
    std::string digest() const;

    /// Delivers all messages and lets time pass without further faults, closes the portions of dead entries, and
    /// returns the first invariant that is violated, or nothing.
    std::optional<std::string> violationAtRest();

    /// All steps and messages in order, including those of violationAtRest().
    std::string trace() const;

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
        /// The entry whose home granted the request. Empty until then.
        std::string home;
        RadishSwitch::Grant grant;
    };

    struct PendingMessage {
        std::string label;
        CarriedMessage message;
        bool isCopy = false;
    };

    struct Run {
        std::string agent;
        /// Indices of the calls that read the run's answer.
        std::vector<std::size_t> readers;
    };

    /// The object store as one entry uses it. Records the store's answers in the entry's history.
    class RecordingStore;

    static std::string otherEntry(const std::string &entry);
    bool isAlive(const std::string &name) const;
    void recordEvent(const std::string &part, const std::string &what);
    void send(std::string from, std::string to, std::string text, std::function<void()> deliver,
              std::function<void()> lose);
    PendingMessage takeMessage(const std::string &label);

    void ask(std::size_t n, const std::string &home, int hops);
    void handleDecision(std::size_t n, const std::string &home, int hops,
                        const absl::StatusOr<RadishSwitch::AdmitDecision> &decision);
    void startRun(std::size_t n);
    void attach(std::size_t n, const RadishSwitch::DuplicateRun &run);
    void finishRun(const RadishSwitch::AttemptId &attempt);
    void sendAnswer(std::size_t n, const std::string &agent, const RadishSwitch::AttemptId &attempt);
    void read(std::size_t n, const RadishSwitch::RunRecord &record);
    void sendToHome(std::size_t n, const std::string &text, std::function<void(RadishSwitch::Home &)> tell);
    void abandonAtHome(std::size_t n);
    void giveUp(std::size_t n);
    void refuse(std::size_t n, RadishSwitch::RunOutcome outcome);
    void killEntry(const std::string &name);
    void killAgent(const std::string &address);

    std::optional<std::string> violation();
    std::vector<RadishSwitch::PortionCharges::Charge> closePortionOf(const std::string &entry);
    int billsOf(const RadishSwitch::RequestId &request);
    bool isEvidenceLost() const;

    std::vector<Call> m_calls;
    FaultLimits m_remaining;
    const FaultLimits m_limits;
    VirtualTimerService m_timers;
    ManualTaskQueue m_tasks;
    MemoryObjectStore m_store{m_tasks};
    MemoryAgents m_agents{m_timers, {"agent-1", "agent-2"}};
    std::map<std::string, std::unique_ptr<RecordingStore>> m_recordingStores;
    std::map<std::string, std::unique_ptr<SmallEntry>> m_entries;
    std::vector<PendingMessage> m_pendingMessages;
    std::map<std::string, int> m_sent;
    std::map<std::string, std::string> m_histories;
    std::map<RadishSwitch::AttemptId, Run> m_running;
    std::map<RadishSwitch::RequestId, int> m_starts;
    /// For each dead entry whose portion was closed: the provisional tokens that agents charged to it, which nobody
    /// bills.
    std::map<std::string, std::int64_t> m_withheldOfDead;
    std::string m_trace;
    std::optional<std::string> m_violation;
};
