#include "homeservice.h"
#include "homewire.h"

#include "fakemessagestream.h"
#include "smallfleet.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class HomeServiceTest : public testing::Test
{
protected:
    AdmitQuestion keyedQuestion() const
    {
        AdmitQuestion question;
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
