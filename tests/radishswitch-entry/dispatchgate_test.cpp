#include "entryfixture.h"

#include "agentlife.h"

using namespace RadishSwitch;

class DispatchGateTest : public EntryFixture
{
protected:
    /// What the gate has said to one request.
    struct Entered {
        std::optional<absl::StatusOr<GatePass>> answer;

        bool isIn() const
        {
            return answer && answer->ok();
        }

        FailureCode failure() const
        {
            return failureCode(answer.value().status());
        }
    };

    std::shared_ptr<Entered> enter(const RunPlan &plan, Duration patience = std::chrono::seconds(60))
    {
        const auto entered = std::make_shared<Entered>();
        gate.enter(plan, loop.timers.now() + patience, [entered](absl::StatusOr<GatePass> pass) {
            entered->answer = std::move(pass);
        });
        return entered;
    }

    /// Two endpoints that serve one request each.
    void shrink()
    {
        listEndpoint("agent-1", 1);
        listEndpoint("agent-2", 1);
    }

    static SteeringTable tableOf(const OrganisationRow &organisation, std::int64_t maximumQueue = 1000)
    {
        PoolRow pool;
        pool.name = PoolId("engines");
        pool.maximumQueue = maximumQueue;
        TableRows rows;
        rows.organisations = {organisation};
        rows.pools = {pool};
        return SteeringTable(1, rows);
    }

    static OrganisationRow magnolia()
    {
        OrganisationRow row;
        row.name = OrganisationId("magnolia");
        return row;
    }
};

// No endpoint of the pool is there. Waiting would not help before the caller's deadline, so it is refused at once.
TEST_F(DispatchGateTest, enter_noEndpoint_isRefusedAtOnce)
{
    RunPlan plan = chatPlan();
    plan.pool = PoolId("nowhere");
    const auto entered = enter(plan);
    ASSERT_TRUE(entered->answer);
    EXPECT_EQ(entered->failure(), FailureCode::NoEndpoint);
    EXPECT_EQ(outcomeOf(entered->answer->status()), RunOutcome::NotRun);
}

TEST_F(DispatchGateTest, enter_freeSlot_isLetInAtOnce)
{
    EXPECT_TRUE(enter(chatPlan())->isIn());
    EXPECT_EQ(gate.standings().at(0).queued, 0u);
}

TEST_F(DispatchGateTest, choose_endpoint_namesTheLifeOfItsAgent)
{
    const auto choice = gate.choose(chatPlan(), {EndpointId("agent-1")}, Instant::max());
    ASSERT_TRUE(choice.ok()) << choice.status();
    EXPECT_EQ(choice->endpoint, EndpointId("agent-2"));
    EXPECT_EQ(AgentLife::parse(choice->address), (AgentLife{"agent-2:1", IncarnationId("life-of-agent-2")}));
    EXPECT_FALSE(gate.choose(chatPlan(), {EndpointId("agent-1"), EndpointId("agent-2")}, Instant::max()).ok());
}

// A caller goes away before its request was sent. Its place must go to the next, or the pool would shrink with every
// caller that hangs up.
TEST_F(DispatchGateTest, passDropped_beforeItIsSent_letsTheNextIn)
{
    shrink();
    std::vector<std::shared_ptr<Entered>> entered;
    while (gate.standings().at(0).queued == 0 && entered.size() < 100) {
        entered.push_back(enter(chatPlan()));
    }
    const auto waiting = entered.back();
    ASSERT_FALSE(waiting->answer);
    entered.front()->answer.reset();
    EXPECT_TRUE(waiting->isIn());
    EXPECT_EQ(gate.standings().at(0).queued, 0u);
}

TEST_F(DispatchGateTest, passDropped_allGone_nothingIsLeftUnderWay)
{
    {
        const auto one = enter(chatPlan());
        const auto two = enter(chatPlan());
        one->answer->value().noteDispatched();
        GatePass moved = std::move(two->answer->value());
        EXPECT_EQ(gate.standings().at(0).underWay, 2u);
        moved.release(5);
        moved.release(5);
        EXPECT_EQ(gate.standings().at(0).underWay, 1u);
    }
    EXPECT_EQ(gate.standings().at(0).underWay, 0u);
}

// A request waits in a queue that does not move. It gets its final answer when it can't make its deadline any more, and
// is not held back beyond it.
TEST_F(DispatchGateTest, enter_queueThatDoesNotMove_isRefusedByItsDeadline)
{
    shrink();
    gate.start();
    std::vector<std::shared_ptr<Entered>> entered;
    while (gate.standings().at(0).queued == 0 && entered.size() < 100) {
        entered.push_back(enter(chatPlan(), std::chrono::seconds(2)));
    }
    const auto waiting = entered.back();
    loop.timers.advance(std::chrono::milliseconds(2100));
    ASSERT_TRUE(waiting->answer);
    EXPECT_FALSE(waiting->isIn());
    EXPECT_EQ(outcomeOf(waiting->answer->status()), RunOutcome::NotRun);
    EXPECT_EQ(gate.standings().at(0).queued, 0u);
}

// The organisation has two requests under way, which is its ceiling. The third is refused at once with the time to come
// back; once one has ended, the next is let in.
TEST_F(DispatchGateTest, enter_ceilingOfRequestsAtOnce_isRefusedAtOnceUntilOneEnds)
{
    OrganisationRow row = magnolia();
    row.ceilingConcurrent = 2;
    gate.applyTable(tableOf(row));
    const auto one = enter(chatPlan());
    const auto two = enter(chatPlan());
    const auto three = enter(chatPlan());
    ASSERT_TRUE(one->isIn());
    ASSERT_TRUE(two->isIn());
    ASSERT_TRUE(three->answer);
    EXPECT_EQ(three->failure(), FailureCode::CeilingReached);
    EXPECT_TRUE(retryAfterOf(three->answer->status()));
    one->answer.reset();
    EXPECT_TRUE(enter(chatPlan())->isIn());
}

// With two entries each has a half of the ceiling, so that the fleet as a whole keeps it.
TEST_F(DispatchGateTest, setPlaceAmongEntries_two_halvesTheCeiling)
{
    OrganisationRow row = magnolia();
    row.ceilingConcurrent = 2;
    gate.applyTable(tableOf(row));
    gate.setPlaceAmongEntries(0, 2);
    const auto one = enter(chatPlan());
    EXPECT_TRUE(one->isIn());
    EXPECT_EQ(enter(chatPlan())->failure(), FailureCode::CeilingReached);
}

// An operator shortens the queue of a pool that is in use. Without that taking effect, an overloaded pool could only
// be relieved by restarting the entries.
TEST_F(DispatchGateTest, applyTable_shorterQueueOfAPoolInUse_takesEffect)
{
    shrink();
    gate.applyTable(tableOf(magnolia()));
    std::vector<std::shared_ptr<Entered>> entered;
    while (gate.standings().at(0).queued == 0 && entered.size() < 100) {
        entered.push_back(enter(chatPlan()));
    }
    gate.applyTable(tableOf(magnolia(), 1));
    entered.push_back(enter(chatPlan()));
    ASSERT_TRUE(entered.back()->answer);
    EXPECT_EQ(entered.back()->failure(), FailureCode::Overloaded);
    EXPECT_EQ(gate.standings().at(0).queued, 1u);
}
