#include "budgetfixture.h"
#include "budgets/portioncloser.h"
#include "fakeagents.h"

namespace RadishSwitch
{

class PortionCloserTest : public BudgetFixture
{
protected:
    PortionCloserTest()
    {
        agents.add("a1");
        agents.add("a2");
        topUp("p", 1000);
        holder = start("dead");
    }

    /// A process that closes the portions of the holder "dead".
    struct Closer {
        explicit Closer(PortionCloserTest &test)
            : link(test.store, test.tasks, test.timers)
            , ledger(link, test.timers, test.random, test.ledgerSettings)
            , closer(ledger, test.agents, test.timers, test.tasks, test.random, PortionCloserSettings())
        {
        }

        StoreLink link;
        Ledger ledger;
        PortionCloser closer;
        CloseReport report;
    };

    std::unique_ptr<Closer> close()
    {
        auto closer = std::make_unique<Closer>(*this);
        const std::uint32_t shard = ledgerShardOf(kBudget, ledgerSettings.shardCount);
        closer->closer.closeHolder(IncarnationId("dead"), shard, [&report = closer->report](const CloseReport &it) {
            report = it;
        });
        return closer;
    }

    /// Reserves tokens and starts a run at an agent; returns the portion.
    PortionId dispatch(const std::string &request, const std::string &agent, std::int64_t tokens)
    {
        const auto answer = reserve(*holder, request, tokens);
        run(Seconds(1));
        EXPECT_TRUE(answer->isGranted());
        const PortionId portion = (*answer->result)->portion;
        EXPECT_TRUE(agents.start(agent, RequestId(request), portion));
        return portion;
    }

    void complete(const std::string &request, const std::string &agent, const PortionId &portion, std::int64_t tokens)
    {
        agents.finish(agent, RequestId(request), portion, tokens);
        spent += tokens;
    }

    FakeAgents agents{tasks};
    std::unique_ptr<Process> holder;
};

// A process is killed after an answer was charged at its agent and before the charge was reported to the ledger. The
// closer asks all agents and settles exactly that charge; the rest of the portion becomes free.
TEST_F(PortionCloserTest, closeHolder_chargesOnlyAtAgents_settlesExactlyThem)
{
    const PortionId portion = dispatch("r", "a1", 100);
    complete("r", "a1", portion, 70);
    holder.reset();
    const auto closer = close();
    run(Seconds(10));

    EXPECT_EQ(record().settled(), 70);
    EXPECT_EQ(record().free(), 930);
    EXPECT_EQ(closer->report.closed, 1u);
    EXPECT_EQ(closer->closer.openJobs(), 0u);
}

// The process dies while an answer is streamed. The agent continues the run, so the charge is not known yet, and the
// closer waits for it. If the tokens became free earlier, another holder could spend what this run is about to use.
TEST_F(PortionCloserTest, closeHolder_runInProgress_waitsForItsCharge)
{
    const PortionId portion = dispatch("r", "a1", 100);
    holder.reset();
    const auto closer = close();
    run(Seconds(30));
    EXPECT_EQ(record().settled(), 0);
    EXPECT_GE(record().granted(), 100);

    complete("r", "a1", portion, 80);
    run(Seconds(40));

    EXPECT_EQ(record().settled(), 80);
    EXPECT_EQ(record().granted(), 0);
}

TEST_F(PortionCloserTest, closeHolder_requestChargedAtTwoAgents_countsTheGreater)
{
    const PortionId portion = dispatch("r", "a1", 100);
    ASSERT_TRUE(agents.start("a2", RequestId("r"), portion));
    agents.finish("a1", RequestId("r"), portion, 30);
    complete("r", "a2", portion, 80);
    holder.reset();
    const auto closer = close();
    run(Seconds(10));

    EXPECT_EQ(record().settled(), 80);
}

// The process and an agent die together. The charges at the agent are unknown, so the portion is withheld as if it were
// spent, with a reason and the agent's name. When the agent turns out to be alive, its answer settles the portion.
TEST_F(PortionCloserTest, closeHolder_agentUnreachable_withholdsUntilItAnswers)
{
    const PortionId portion = dispatch("r", "a1", 100);
    complete("r", "a1", portion, 60);
    complete("s", "a2", portion, 10);
    agents.setSilent("a1", true);
    holder.reset();
    const auto closer = close();
    run(Seconds(30));

    const PortionRecord withheld = record().portions().at(portion);
    EXPECT_EQ(withheld.state, PortionState::Withheld);
    EXPECT_EQ(withheld.missingAgents, std::vector<std::string>{"a1"});
    EXPECT_FALSE(withheld.reason.empty());
    EXPECT_EQ(withheld.spent, 10);
    EXPECT_EQ(closer->report.withheldTokens, withheld.granted - 10);

    agents.setSilent("a1", false);
    run(Seconds(60));
    EXPECT_EQ(record().settled(), 70);
    EXPECT_EQ(record().granted(), 0);
    EXPECT_EQ(closer->report.withheld, 0u);
}

TEST_F(PortionCloserTest, closeHolder_provedLessThanReported_isWithheldNotFreed)
{
    const PortionId portion = dispatch("r", "a1", 100);
    agents.finish("a1", RequestId("r"), portion, 20);
    EXPECT_TRUE(holder->holder->settle(RequestId("r"), 50).ok());
    run(Seconds(7));
    holder.reset();
    const auto closer = close();
    run(Seconds(30));

    EXPECT_EQ(record().portions().at(portion).state, PortionState::Withheld);
    EXPECT_EQ(record().portions().at(portion).spent, 50);
}

// An agent was replaced after the portion was taken, and the records of the earlier agent are lost. Its charges are
// unknown, so the portion is withheld although every present agent has answered.
TEST_F(PortionCloserTest, closeHolder_agentStartedAfterwards_withholds)
{
    const PortionId portion = dispatch("r", "a1", 100);
    run(Seconds(20));
    holder.reset();
    agents.setCompleteFor("a2", Seconds(5));
    const auto closer = close();
    agents.finish("a1", RequestId("r"), portion, 20);
    run(Seconds(20));

    EXPECT_EQ(record().portions().at(portion).state, PortionState::Withheld);
    EXPECT_EQ(record().portions().at(portion).missingAgents, std::vector<std::string>{"a2"});
}

TEST_F(PortionCloserTest, closeHolder_provisionalCharges_withholdsOnlyThem)
{
    const PortionId portion = dispatch("r", "a1", 100);
    complete("r", "a1", portion, 70);
    agents.setProvisionalTokens("a2", 30);
    holder.reset();
    const auto closer = close();
    run(Seconds(20));

    EXPECT_EQ(record().withheld(), 30);
    EXPECT_EQ(record().free(), 900);
    EXPECT_EQ(closer->report.withheldTokens, 30);
}

TEST_F(PortionCloserTest, closeHolder_noAgentKnown_withholds)
{
    FakeAgents nobody(tasks);
    dispatch("r", "a1", 100);
    holder.reset();
    StoreLink link(store, tasks, timers);
    Ledger ledger(link, timers, random, ledgerSettings);
    PortionCloser closer(ledger, nobody, timers, tasks, random, PortionCloserSettings());
    closer.closeHolder(IncarnationId("dead"), ledger.shardOf(kBudget), [](const CloseReport &) {});
    run(Seconds(30));

    EXPECT_EQ(record().settled(), 0);
    EXPECT_GT(record().withheld(), 0);
}

TEST_F(PortionCloserTest, releaseWithheld_byOperator_freesItWithAuditEntry)
{
    const PortionId portion = dispatch("r", "a1", 100);
    agents.setSilent("a1", true);
    holder.reset();
    auto closer = close();
    run(Seconds(30));
    closer.reset();
    const std::int64_t withheld = record().withheld();
    ASSERT_GT(withheld, 0);
    std::optional<absl::Status> unnamed;
    std::optional<absl::Status> released;
    std::optional<absl::Status> again;
    editor.releaseWithheld(kBudget, portion, "", "", [&](const absl::Status &it) {
        unnamed = it;
    });
    editor.releaseWithheld(kBudget, portion, "ann", "a1 is scrap", [&](const absl::Status &it) {
        released = it;
    });
    editor.releaseWithheld(kBudget, portion, "bob", "other", [&](const absl::Status &it) {
        again = it;
    });
    run(Seconds(2));

    EXPECT_EQ(failureCode(*unnamed), FailureCode::InvalidRequest);
    EXPECT_TRUE(released->ok());
    EXPECT_EQ(failureCode(*again), FailureCode::ObjectMissing);
    EXPECT_EQ(record().free(), 1000);
    std::optional<absl::StatusOr<std::vector<LedgerAuditEntry>>> audit;
    editor.audit(OrganisationId(), [&](const auto &it) {
        audit = it;
    });
    run(Seconds(2));
    EXPECT_EQ(audit->value().back().action, "release");
    EXPECT_EQ(audit->value().back().operatorName, "ann");
    EXPECT_EQ(audit->value().back().tokens, withheld);
}

// Two processes both consider the holder dead, and answers to their writes are lost. Both prove the same sum; the
// second one to finish finds the portion gone. If it were settled twice, the budget would lose the tokens twice.
TEST_F(PortionCloserTest, closeHolder_twoClosersAtOnceWithLostAnswers_settleOnce)
{
    const PortionId portion = dispatch("r", "a1", 100);
    complete("r", "a1", portion, 70);
    holder.reset();
    const auto first = close();
    const auto second = close();
    first->link.loseAnswersOfNextWrites(2);
    second->link.loseAnswersOfNextWrites(2);
    run(Seconds(20));

    EXPECT_EQ(record().settled(), 70);
    EXPECT_EQ(record().granted(), 0);
    EXPECT_EQ(first->closer.openJobs() + second->closer.openJobs(), 0u);
}

// The holder was only paused, and its portion was closed and settled in the meantime. It does not know and reserves
// from that portion. The agents refuse those runs, so the caller is correctly told "not run". Other holders use the
// rest of the portion meanwhile, and nothing is overspent.
TEST_F(PortionCloserTest, closeHolder_holderOnlyPaused_itsLaterRunsAreRefused)
{
    const PortionId portion = dispatch("r", "a1", 100);
    complete("r", "a1", portion, 70);
    holder->link.setCut(true);
    const auto closer = close();
    run(Seconds(20));
    ASSERT_EQ(record().settled(), 70);
    const auto late = reserve(*holder, "late", 50);
    tasks.runAll();
    ASSERT_TRUE(late->isGranted());
    ASSERT_EQ((*late->result)->portion, portion);
    EXPECT_FALSE(agents.start("a1", RequestId("late"), portion));
    EXPECT_FALSE(agents.start("a2", RequestId("late"), portion));
    EXPECT_LT((*late->result)->confirmedAt + Seconds(20), timers.now())
        << "the run must not be sent to an agent that started later";
    holder->holder->release(RequestId("late"));

    holder->link.setCut(false);
    run(Seconds(20));
    EXPECT_TRUE(holder->holder->settle(RequestId("r"), 70).ok());
    run(Seconds(20));

    EXPECT_EQ(record().settled(), 70);
    EXPECT_TRUE(record().check().ok());
    EXPECT_TRUE(spend(*holder, "again", 50, 10));
}

}
