#pragma once

#include "base/failure.h"
#include "manualtaskqueue.h"
#include "memoryagents.h"
#include "memoryentrydirectory.h"
#include "memoryobjectstore.h"
#include "memoryreservations.h"
#include "recordedcourier.h"
#include "recordedobjectstore.h"
#include "recordedreservations.h"
#include "requests/home.h"
#include "seededrandom.h"
#include "sessionrecorder.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

/// Callers, two entries with real homes, two agents with real run tables and a store, all on virtual time, with every
/// message written down. What an entry does around its home is told here in a few lines.
class RequestSession : public testing::Test
{
protected:
    using AdmissionQuery = RadishSwitch::AdmissionQuery;
    using Grant = RadishSwitch::Grant;

    RequestSession();
    ~RequestSession() override;

    AdmissionQuery question(const std::string &key, bool isNonIdempotent) const;

    /// A caller sends a request to an entry, which sends a granted run to this agent. The run goes on until
    /// `finishRun`.
    void call(const std::string &entry, const AdmissionQuery &question, const std::string &agent);

    /// The engine has done what the caller asked for.
    void finishRun(const std::string &agent, const AdmissionQuery &question, std::int64_t tokens);

    void kill(const std::string &entry);

    /// Planned stop.
    void stop(const std::string &entry);

    /// What is done after a holder's death: its portion is closed at the agents.
    void closePortionOf(const std::string &entry);

    /// Lets time pass in small steps, running what falls due.
    void advance(RadishSwitch::Duration span);

    /// The sums of money and of work.
    void tellSums();

    VirtualTimerService timers;
    ManualTaskQueue tasks;
    SessionRecorder recorder{timers};
    MemoryObjectStore store{tasks};

private:
    struct Entry;
    struct OpenRun {
        std::string entry;
        AdmissionQuery question;
        Grant grant;
        std::string home;
    };

    void send(const std::string &from, const std::string &to, const std::string &text, std::function<void()> deliver);
    void hear(const std::string &entry, const AdmissionQuery &question, const std::string &agent,
              const absl::StatusOr<RadishSwitch::AdmitDecision> &decision);
    void startRun(const std::string &entry, const AdmissionQuery &question, const std::string &agent,
                  const Grant &grant);
    void attach(const std::string &entry, const AdmissionQuery &question, const RadishSwitch::DuplicateRun &run);
    void answer(const std::string &entry, const AdmissionQuery &question, const std::string &agent,
                const RadishSwitch::AttemptId &attempt);
    static std::string tellObject(const std::string &key, const std::string &value);

    MemoryAgents m_agents{timers, {"agent-1", "agent-2"}};
    RecordedCourier m_courier;
    std::map<std::string, std::unique_ptr<Entry>> m_entries;
    std::map<RadishSwitch::AttemptId, std::string> m_readers;
    std::int64_t m_engineRuns = 0;
    std::int64_t m_engineTokens = 0;
    std::int64_t m_billedByClosing = 0;
};
