#include "homeservice.h"
#include "homewire.h"

#include "fakemessagestream.h"
#include "smallfleet.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

/// The agents as a home asks them; knows whether the home had a run stopped, read or not.
class StopRecorder : public MemoryAgentPort
{
public:
    using MemoryAgentPort::MemoryAgentPort;

    void bar(const std::string &agentAddress, const RequestId &request, const AttemptId &attempt, RunStop stop,
             std::function<void(absl::StatusOr<RunRecord>)> callback) override
    {
        hasStopped = hasStopped || stop == RunStop::Always;
        MemoryAgentPort::bar(agentAddress, request, attempt, stop, std::move(callback));
    }

    bool hasStopped = false;
};

class HomeServiceTest : public testing::Test
{
protected:
    AdmissionQuery keyedQuestion() const
    {
        AdmissionQuery question;
        question.request = RequestId("r-1");
        question.budget = {OrganisationId("magnolia"), "main"};
        question.worstCaseTokens = 100;
        question.fingerprint = "f";
        question.isKeyed = true;
        question.deadline = fleet.timers.now() + std::chrono::seconds(30);
        return question;
    }

    void settle()
    {
        for (int n = 0; n < 10; ++n) {
            loop.settle();
            fleet.settle();
        }
    }

    SmallFleet fleet;
    VirtualLoop loop;
    Monitor monitor;
    MonitoredTaskQueue tasks{fleet.tasks, monitor};
    std::unique_ptr<SmallEntry> owner = fleet.makeEntry("entry-1");
    SmallEntry asked{"entry-2",      fleet.timers,        tasks, fleet.store, fleet.agents, fleet.courier,
                     HomeSettings(), SmallFleet::kTokens, 77};
    HomeService service{*asked.home, monitor, fleet.timers, fleet.tasks};
};

// A third entry asks the wrong home for a keyed request. The home answered under its lock, and the service took that
// lock again to look up the owner: the worker waited for itself, the rest for it, and the entry answered nobody any
// more. Seen in router-death as an entry that did not stop.
TEST_F(HomeServiceTest, serveStream_shardOwnedElsewhere_namesTheOwnerAndGoesOn)
{
    const Asked first = owner->ask(keyedQuestion());
    settle();
    ASSERT_TRUE(first->isAnswered());

    const auto stream = std::make_shared<FakeMessageStream>(loop, "entry-2:1", "/home", std::string());
    service.serveStream(stream);
    wire::HomeRequest request;
    *request.mutable_admit() = admitQuestionToWire(keyedQuestion(), fleet.timers.now());
    stream->deliver(request);
    settle();

    ASSERT_EQ(stream->sent.size(), 1u);
    wire::HomeAnswer answer;
    ASSERT_TRUE(answer.ParseFromString(stream->sent.front()));
    EXPECT_EQ(answer.admit().refused().code(), "home_elsewhere");
    EXPECT_EQ(answer.admit().owner_address(), "entry-1:1");
}

// The network between the home and the entry that serves a caller is cut, and the transport takes their connection for
// silent. The entry is alive and passes the answer on. The home can't know, and has the run stopped: the caller loses
// an answer that was being made.
TEST_F(HomeServiceTest, serveStream_linkToTheServingEntrySilent_doesNotStopTheRun)
{
    SeededRandom random(5);
    StopRecorder port("home", fleet.agents, fleet.courier);
    MemoryReservations reservations(tasks, "portion", SmallFleet::kTokens);
    MemoryEntryDirectory directory;
    Home home(HomePorts{fleet.timers, tasks, random, fleet.store, port, reservations, directory},
              KeyOwner{IncarnationId("home"), "home:1", "south-central", 0}, HomeSettings());
    HomeService homeService(home, monitor, fleet.timers, fleet.tasks);
    AdmissionQuery question = keyedQuestion();
    question.isKeyed = false;
    const auto stream = std::make_shared<FakeMessageStream>(loop, "home:1", "/home", std::string());
    homeService.serveStream(stream);
    wire::HomeRequest asked;
    *asked.mutable_admit() = admitQuestionToWire(question, fleet.timers.now());
    stream->deliver(asked);
    settle();
    wire::HomeAnswer answer;
    ASSERT_TRUE(answer.ParseFromString(stream->sent.at(0)));
    const Grant grant = std::get<Grant>(*admitDecisionFromWire(answer.admit(), fleet.timers.now()));
    wire::HomeRequest sent;
    sent.mutable_dispatched()->set_attempt_id(grant.attempt.value());
    sent.mutable_dispatched()->set_agent_address("agent-1");
    stream->deliver(sent);
    ASSERT_TRUE(fleet.start(question, grant, "agent-1").ok());
    settle();

    stream->close(makeFailure(FailureCode::ConnectionSilent, "no PING came back"));
    settle();

    EXPECT_FALSE(port.hasStopped);
}
