#include "requests/runtable.h"

#include "base/failure.h"
#include "virtualtimerservice.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace RadishSwitch;
using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::IsEmpty;

class RunTableTest : public testing::Test
{
protected:
    using Action = RunDecision::Action;

    static RunStart startOf(const std::string &request, const std::string &attempt)
    {
        RunStart start;
        start.request = RequestId(request);
        start.attempt = AttemptId(attempt);
        start.portion = PortionId("portion");
        start.shard = 7;
        start.epoch = 3;
        start.reservedTokens = 100;
        start.fingerprint = "body";
        return start;
    }

    static FailureCode codeOf(const absl::StatusOr<RunDecision> &decision)
    {
        return failureCode(decision.status());
    }

    RunState stateOf(const std::string &request, const std::string &attempt) const
    {
        return m_table.find(RequestId(request), AttemptId(attempt)).state;
    }

    void runToEnd(const RunStart &start, std::int64_t tokens)
    {
        ASSERT_EQ(m_table.start(start)->action, Action::Start);
        m_table.noteDone(start.attempt, tokens);
    }

    void wait(Duration span)
    {
        m_timers.advance(span);
        m_table.expire();
    }

    PortionCharges closePortion()
    {
        return m_table.closePortions({PortionId("portion")}).front();
    }

    VirtualTimerService m_timers;
    RunTable m_table{m_timers, {.agentAddress = "127.0.0.1:7300", .maximumCharges = 3, .maximumPortions = 4}};
};

TEST_F(RunTableTest, start_newAttempt_startsOnce)
{
    EXPECT_EQ(m_table.start(startOf("r", "a"))->action, Action::Start);

    const auto again = m_table.start(startOf("r", "a"));
    EXPECT_EQ(again->action, Action::AttachToRunning);
    EXPECT_EQ(again->record.attempt, AttemptId("a"));
    EXPECT_EQ(m_table.runningCount(), 1);
}

// An entry fails after it sent its run. Its home queries the agent, which has not seen the run yet, and tells the
// caller "not run". The run's message was only delayed and arrives after that. Unless the attempt is barred, the
// request runs after all.
TEST_F(RunTableTest, start_lateCopyOfBarredAttempt_isRefusedForEver)
{
    EXPECT_EQ(m_table.bar(RequestId("r"), AttemptId("a")).state, RunState::Barred);

    wait(72h);

    EXPECT_EQ(codeOf(m_table.start(startOf("r", "a"))), FailureCode::AttemptBarred);
    EXPECT_EQ(m_table.bar(RequestId("r"), AttemptId("a")).state, RunState::Barred);
    EXPECT_EQ(m_table.start(startOf("r", "b"))->action, Action::Start);
}

// An entry is partitioned from the agent for hours and then asks about its attempt, whose full record has been dropped.
// If the agent treated the attempt as never seen, it would bar it and answer "never started", and the entry would
// release tokens that were spent.
TEST_F(RunTableTest, bar_attemptDoneHoursAgo_stillReportsDone)
{
    runToEnd(startOf("r", "a"), 40);
    wait(20h);

    const RunRecord record = m_table.bar(RequestId("r"), AttemptId("a"));

    EXPECT_EQ(record.state, RunState::Done);
    EXPECT_EQ(record.chargedTokens, 40);
    EXPECT_FALSE(record.isAnswerKept);
    EXPECT_EQ(m_table.findRuns({RequestId("r")}, 0, 0).front().chargedTokens, 40);
}

// A caller retries through another entry whose home does not know of the first try. The new attempt has another id, but
// the request is already running at this agent and must not run twice.
TEST_F(RunTableTest, start_requestRunsUnderOtherAttempt_attachesAndBarsNewAttempt)
{
    m_table.start(startOf("r", "a")).IgnoreError();

    const auto decision = m_table.start(startOf("r", "b"));

    EXPECT_EQ(decision->action, Action::AttachToRunning);
    EXPECT_EQ(decision->record.attempt, AttemptId("a"));
    EXPECT_EQ(stateOf("r", "b"), RunState::Barred);
    m_table.noteDone(AttemptId("a"), 10);
    EXPECT_EQ(m_table.start(startOf("r", "c"))->record.state, RunState::Done);
}

TEST_F(RunTableTest, start_otherBodyUnderSameKey_isRefused)
{
    m_table.start(startOf("r", "a")).IgnoreError();
    RunStart other = startOf("r", "b");
    other.fingerprint = "other body";

    EXPECT_EQ(codeOf(m_table.start(other)), FailureCode::KeyReusedForOtherBody);
    EXPECT_EQ(stateOf("r", "b"), RunState::Barred);
}

TEST_F(RunTableTest, start_idempotentFailedBefore_startsAgain)
{
    m_table.start(startOf("r", "a")).IgnoreError();
    m_table.noteFailed(AttemptId("a"));

    EXPECT_EQ(m_table.start(startOf("r", "b"))->action, Action::Start);
}

// A non-idempotent request fails in the middle of its answer and may have taken effect. A retry must not run it again,
// neither at once nor when the agent has only a compact record of it.
TEST_F(RunTableTest, start_nonIdempotentFailedBefore_neverStartsAgain)
{
    RunStart nonIdempotent = startOf("r", "a");
    nonIdempotent.isNonIdempotent = true;
    m_table.start(nonIdempotent).IgnoreError();
    m_table.noteFailed(AttemptId("a"));

    nonIdempotent.attempt = AttemptId("b");
    EXPECT_EQ(m_table.start(nonIdempotent)->action, Action::AttachToRunning);
    wait(11min);
    nonIdempotent.attempt = AttemptId("c");
    const auto later = m_table.start(nonIdempotent);
    EXPECT_EQ(later->action, Action::AttachToRunning);
    EXPECT_EQ(later->record.state, RunState::Failed);
}

TEST_F(RunTableTest, start_nonIdempotentWhoseEndpointWasNotReached_startsAgain)
{
    RunStart nonIdempotent = startOf("r", "a");
    nonIdempotent.isNonIdempotent = true;
    m_table.start(nonIdempotent).IgnoreError();
    m_table.noteNotStarted(AttemptId("a"));

    EXPECT_EQ(codeOf(m_table.start(nonIdempotent)), FailureCode::AttemptBarred);
    nonIdempotent.attempt = AttemptId("b");
    EXPECT_EQ(m_table.start(nonIdempotent)->action, Action::Start);
}

// A new home takes over a shard and collects its runs. A run that the old home granted arrives after that; the new home
// does not know of it, so it must not start. Requests without a key belong to no home and may start.
TEST_F(RunTableTest, start_epochBelowShardEpoch_isRefusedUnlessZero)
{
    m_table.start(startOf("running", "a")).IgnoreError();
    EXPECT_EQ(m_table.findRuns({RequestId("running")}, 7, 4).size(), 1u);
    m_table.findRuns({}, 7, 2);

    EXPECT_EQ(codeOf(m_table.start(startOf("r", "b"))), FailureCode::StaleEpoch);
    EXPECT_EQ(codeOf(m_table.start(startOf("r", "b"))), FailureCode::AttemptBarred);
    RunStart unkeyed = startOf("unkeyed", "c");
    unkeyed.epoch = 0;
    EXPECT_TRUE(m_table.start(unkeyed).ok());
    RunStart otherShard = startOf("other", "d");
    otherShard.shard = 8;
    EXPECT_TRUE(m_table.start(otherShard).ok());
    EXPECT_EQ(stateOf("running", "a"), RunState::Running);
}

// The holder of a portion is considered dead, and its charges are collected from the agents. It was only paused,
// resumes and sends runs on the portion. The tokens of these runs would be spent twice.
TEST_F(RunTableTest, closePortions_holderResumes_itsRunsAreRefused)
{
    runToEnd(startOf("r1", "a1"), 30);
    m_table.start(startOf("r2", "a2")).IgnoreError();

    const PortionCharges charges = closePortion();

    EXPECT_THAT(charges.charges, ElementsAre(PortionCharges::Charge{RequestId("r1"), 30}));
    ASSERT_EQ(charges.running.size(), 1u);
    EXPECT_EQ(charges.running.front().request, RequestId("r2"));
    wait(72h);
    EXPECT_EQ(codeOf(m_table.start(startOf("r3", "a3"))), FailureCode::PortionClosed);
    m_table.noteDone(AttemptId("a2"), 100);
    EXPECT_THAT(closePortion().charges, ElementsAre(PortionCharges::Charge{RequestId("r2"), 100}));
}

TEST_F(RunTableTest, closePortions_oldOrManyCharges_areFoldedIntoTheTotal)
{
    for (const char *name : {"1", "2", "3", "4"}) {
        runToEnd(startOf(name, name), 10);
    }
    EXPECT_EQ(closePortion().foldedTokens, 10);
    EXPECT_EQ(closePortion().charges.size(), 3u);

    wait(10min);

    EXPECT_EQ(closePortion().foldedTokens, 40);
    EXPECT_THAT(closePortion().charges, IsEmpty());
}

// Memory is bounded, so the totals of portions that were charged long ago are forgotten. If a missing total were read
// as zero, spent tokens would be given back. The later `chargesCompleteSince` tells that charges to an older portion
// may be missing.
TEST_F(RunTableTest, chargesCompleteSince_totalForgotten_moves)
{
    const Instant started = m_timers.now();
    for (const char *name : {"1", "2", "3", "4", "5"}) {
        m_timers.advance(1min);
        RunStart start = startOf(name, name);
        start.portion = PortionId(name);
        runToEnd(start, 10);
    }
    EXPECT_EQ(m_table.chargesCompleteSince(), started);

    wait(11min);

    EXPECT_EQ(m_table.chargesCompleteSince(), started + 2min);
    EXPECT_EQ(m_table.closePortions({PortionId("3")}).front().foldedTokens, 10);
}

TEST_F(RunTableTest, noteDone_usageAboveReservation_chargesNoMoreThanReserved)
{
    m_table.start(startOf("r", "a")).IgnoreError();
    EXPECT_EQ(m_table.noteDone(AttemptId("a"), 1000), 100);
    EXPECT_EQ(m_table.noteDone(AttemptId("a"), 1000), 0);

    RunStart free = startOf("free", "b");
    free.portion = PortionId();
    m_table.start(free).IgnoreError();
    EXPECT_EQ(m_table.noteDone(AttemptId("b"), 50), 0);
}

TEST_F(RunTableTest, noteFailed_runOnPortion_chargesNothing)
{
    m_table.start(startOf("r", "a")).IgnoreError();
    m_table.noteFailed(AttemptId("a"));
    EXPECT_EQ(m_table.noteDone(AttemptId("a"), 50), 0);

    EXPECT_EQ(stateOf("r", "a"), RunState::Failed);
    EXPECT_THAT(closePortion().charges, IsEmpty());
}

TEST_F(RunTableTest, setLeaving_newAndOldRuns_onlyNewAreRefused)
{
    m_table.start(startOf("r", "a")).IgnoreError();
    m_table.setLeaving();

    EXPECT_EQ(codeOf(m_table.start(startOf("new", "b"))), FailureCode::EndpointLeaving);
    EXPECT_EQ(m_table.start(startOf("r", "c"))->action, Action::AttachToRunning);
    EXPECT_EQ(m_table.noteDone(AttemptId("a"), 20), 20);
}
