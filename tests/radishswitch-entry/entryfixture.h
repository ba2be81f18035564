#pragma once

#include "dispatchgate.h"
#include "fakehomes.h"
#include "fakehttpexchange.h"
#include "fakemessagestream.h"
#include "requestsession.h"
#include "seededrandom.h"
#include "virtualloop.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// What is asked of agents about runs whose stream is lost.
class FakeAgentPort : public RadishSwitch::AgentPort
{
public:
    using RunState = RadishSwitch::RunState;

    explicit FakeAgentPort(VirtualLoop &loop);

    std::vector<std::string> agentAddresses() const override;
    bool isGone(const std::string &agentAddress) const override;
    void findRuns(const std::string &agentAddress, std::vector<RadishSwitch::RequestId> requests, std::uint32_t shard,
                  std::uint64_t epoch,
                  std::function<void(absl::StatusOr<std::vector<RadishSwitch::RunRecord>>)> callback) override;
    void
    closePortions(const std::string &agentAddress, std::vector<RadishSwitch::PortionId> portions,
                  std::function<void(absl::StatusOr<std::vector<RadishSwitch::PortionCharges>>)> callback) override;
    void bar(const std::string &agentAddress, const RadishSwitch::RequestId &request,
             const RadishSwitch::AttemptId &attempt, RadishSwitch::RunStop stop,
             std::function<void(absl::StatusOr<RadishSwitch::RunRecord>)> callback) override;

    /// What agents say of a run that is barred; unreachable without.
    std::optional<RunState> stateWhenBarred;
    /// Whether the platform lists the agents no more.
    bool areGone = true;

    struct Barred {
        std::string address;
        RadishSwitch::AttemptId attempt;
        bool isCancelled = false;
    };
    std::vector<Barred> barred;

private:
    VirtualLoop &m_loop;
};

/// One entry's way of a request over fakes of everything around it: two agents, whose runs the test answers.
class EntryFixture : public testing::Test
{
protected:
    using StreamPointer = FakeMessageClients::StreamPointer;
    using RunUpdate = RadishSwitch::wire::RunUpdate;
    using RunRequest = RadishSwitch::wire::RunRequest;
    /// The agent's side of the `n`th run sent, counted from zero.
    using AgentSide = std::function<void(int n, const StreamPointer &stream, const std::string &attempt)>;

    EntryFixture();

    /// A streamed chat of at most 100 tokens.
    RadishSwitch::RunPlan chatPlan() const;

    /// A call of a plain service that may run at most once.
    RadishSwitch::RunPlan orderPlan() const;

    /// The endpoint tells of itself, now and every second from now on.
    void listEndpoint(const std::string &name, std::uint32_t capacity = 4, const std::string &softwareVersion = {});

    /// Uses the budget of retries up, so that no further attempt is granted.
    void spendRetries();

    /// Serves the request to its end.
    absl::Status serve(const RadishSwitch::RunPlan &plan, AgentSide agents);

    /// Runs that have been sent, in order.
    std::vector<RunRequest> runsSent() const;

    static RunUpdate head(const std::string &attempt, int status = 200);
    static RunUpdate chunk(const std::string &attempt, std::uint64_t offset, const std::string &data);
    static RunUpdate done(const std::string &attempt, std::int64_t chargedTokens);
    static RunUpdate refused(const std::string &attempt, const absl::Status &status);
    static RunUpdate silent(const std::string &attempt);
    static RunUpdate failed(const std::string &attempt, const absl::Status &status);
    static absl::Status lost();

    /// One token of a streamed answer.
    static std::string token(const std::string &id, const std::string &text);

    VirtualLoop loop;
    SeededRandom random;
    FakeMessageClients clients{loop};
    FakeAgentPort agents{loop};
    FakeHomes homes{loop};
    RadishSwitch::DispatchGate gate{loop.timers, random, "zone-a", "south-central"};
    RadishSwitch::RequestJournal journal{loop.timers};
    FakeHttpExchange exchange;

private:
    void report(const std::string &name);

    int m_runs = 0;
    AgentSide m_agentSide;
    std::uint64_t m_reports = 0;
    std::map<std::string, std::uint32_t> m_capacities;
    std::map<std::string, std::string> m_softwareVersions;
};
