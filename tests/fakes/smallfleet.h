#pragma once

#include "manualtaskqueue.h"
#include "memoryagents.h"
#include "memoryentrydirectory.h"
#include "memoryobjectstore.h"
#include "memoryreservations.h"
#include "requests/home.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// What a home has answered so far to one question.
struct AskedHome {
    std::optional<absl::StatusOr<RadishSwitch::AdmitDecision>> answer;

    bool isAnswered() const
    {
        return answer.has_value();
    }

    /// The grant; throws when the answer is none.
    RadishSwitch::Grant grant() const
    {
        return std::get<RadishSwitch::Grant>(answer.value().value());
    }

    RadishSwitch::DuplicateRun duplicate() const
    {
        return std::get<RadishSwitch::DuplicateRun>(answer.value().value());
    }

    RadishSwitch::FailureCode failure() const
    {
        return RadishSwitch::failureCode(answer.value().status());
    }

    RadishSwitch::RunOutcome outcome() const
    {
        return RadishSwitch::outcomeOf(answer.value().status());
    }
};

using Asked = std::shared_ptr<AskedHome>;

/// One entry of a fleet in memory: the real home over fakes of everything around it.
class SmallEntry
{
public:
    SmallEntry(const std::string &name, RadishSwitch::TimerService &timers, RadishSwitch::TaskQueue &tasks,
               RadishSwitch::ObjectStore &store, MemoryAgents &agents, Courier &courier,
               const RadishSwitch::HomeSettings &settings, std::int64_t tokens, std::uint64_t seed)
        : name(name)
        , random(seed)
        , port(name, agents, courier)
        , reservations(tasks, "portion-of-" + name, tokens)
        , home(std::make_unique<RadishSwitch::Home>(
              RadishSwitch::HomePorts{timers, tasks, random, store, port, reservations, directory},
              RadishSwitch::KeyOwner{RadishSwitch::IncarnationId(name), name + ":1", "south-central", 0}, settings))
    {
    }

    Asked ask(const RadishSwitch::AdmissionQuery &question)
    {
        const auto asked = std::make_shared<AskedHome>();
        home->admit(question, [asked](const auto &decision) {
            asked->answer = decision;
        });
        return asked;
    }

    const std::string name;
    SeededRandom random;
    MemoryEntryDirectory directory;
    MemoryAgentPort port;
    MemoryReservations reservations;
    std::unique_ptr<RadishSwitch::Home> home;
};

/// Two entries and two agents over one store, on virtual time.
class SmallFleet
{
public:
    static constexpr std::int64_t kTokens = 1000;

    explicit SmallFleet(const RadishSwitch::HomeSettings &settings = {})
        : m_settings(settings)
    {
        // The worst case: an entry hears of no change in the store by itself.
        m_settings.ownership.isWatching = false;
    }

    std::unique_ptr<SmallEntry> makeEntry(const std::string &name)
    {
        return std::make_unique<SmallEntry>(name, timers, tasks, store, agents, courier, m_settings, kTokens, ++m_seed);
    }

    /// Runs everything that waits, without letting time pass.
    void settle()
    {
        tasks.runAll();
    }

    /// Lets time pass in small steps, running what falls due.
    void advance(RadishSwitch::Duration span)
    {
        constexpr RadishSwitch::Duration kStep = std::chrono::milliseconds(50);
        for (; span > RadishSwitch::Duration::zero(); span -= kStep) {
            timers.advance(std::min(span, kStep));
            settle();
        }
    }

    /// An entry sends the run that it was granted to an agent.
    absl::StatusOr<RadishSwitch::RunDecision> start(const RadishSwitch::AdmissionQuery &question,
                                                    const RadishSwitch::Grant &grant, const std::string &agent)
    {
        RadishSwitch::RunStart start;
        start.request = question.request;
        start.attempt = grant.attempt;
        start.portion = grant.portion;
        start.shard = grant.shard;
        start.epoch = grant.epoch;
        start.reservedTokens = grant.reservedTokens;
        start.fingerprint = question.fingerprint;
        start.isNonIdempotent = question.isNonIdempotent;
        start.isProvisional = grant.isProvisional;
        return agents.table(agent)->start(start);
    }

    ManualTaskQueue tasks;
    VirtualTimerService timers;
    MemoryObjectStore store{tasks};
    MemoryAgents agents{timers, {"agent-1", "agent-2"}};
    PromptCourier courier{tasks};

private:
    RadishSwitch::HomeSettings m_settings;
    std::uint64_t m_seed = 0;
};
