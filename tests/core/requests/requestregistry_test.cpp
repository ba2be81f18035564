#include "requests/requestregistry.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class RequestRegistryTest : public testing::Test
{
protected:
    static RunRecord record(const std::string &attempt, RunState state, std::int64_t charged)
    {
        RunRecord record;
        record.request = RequestId("r");
        record.attempt = AttemptId(attempt);
        record.state = state;
        record.chargedTokens = charged;
        record.fingerprint = "body";
        record.agentAddress = "agent of " + attempt;
        return record;
    }

    RequestVerdict judge() const
    {
        AdmitQuestion question;
        question.request = RequestId("r");
        question.fingerprint = "body";
        question.isKeyed = true;
        return m_registry.judge(question);
    }

    RequestRegistry m_registry{RequestRegistrySettings{}};
};

// A run failed at one agent and was resumed at another. The new owner hears of both, in either order, and sends retries
// to the one that got furthest.
TEST_F(RequestRegistryTest, learn_severalAttempts_theFurthestCounts)
{
    m_registry.learn(record("a", RunState::Failed, 0), 1, Instant());
    EXPECT_EQ(judge(), RequestVerdict::Admit);
    m_registry.learn(record("b", RunState::Done, 60), 1, Instant());
    m_registry.learn(record("c", RunState::Running, 0), 1, Instant());

    EXPECT_EQ(judge(), RequestVerdict::Attach);
    EXPECT_EQ(m_registry.find(RequestId("r"))->dispatches.back().agentAddress, "agent of b");
}

TEST_F(RequestRegistryTest, learn_orderThatFailed_isSpent)
{
    RunRecord failed = record("a", RunState::Failed, 0);
    failed.isNonIdempotent = true;
    m_registry.learn(failed, 1, Instant());

    EXPECT_EQ(judge(), RequestVerdict::Spent);
}

TEST_F(RequestRegistryTest, learn_barred_isNothing)
{
    m_registry.learn(record("a", RunState::Barred, 0), 1, Instant());

    EXPECT_EQ(m_registry.size(), 0u);
}

TEST_F(RequestRegistryTest, expire_endedAndRunning_forgetsWhatEndedLongAgo)
{
    const Duration retention = RequestRegistrySettings().retention;
    m_registry.learn(record("a", RunState::Done, 60), 1, Instant());
    m_registry.expire(Instant(retention - Duration(1)));
    EXPECT_EQ(m_registry.size(), 1u);
    m_registry.expire(Instant(retention));
    EXPECT_EQ(m_registry.size(), 0u);

    m_registry.learn(record("b", RunState::Running, 0), 1, Instant());
    m_registry.expire(Instant(retention * 10));
    EXPECT_EQ(m_registry.size(), 1u);
}
