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

    RequestVerdict check() const
    {
        AdmissionQuery query;
        query.request = RequestId("r");
        query.fingerprint = "body";
        query.isKeyed = true;
        return m_registry.check(query);
    }

    RequestRegistry m_registry{RequestRegistrySettings{}};
};

// A run failed at one agent and was continued at another. The new owner receives reports of both attempts in any order,
// and must send retries to the attempt that progressed furthest.
TEST_F(RequestRegistryTest, addReportedRun_severalAttempts_mostAdvancedIsKept)
{
    m_registry.addReportedRun(record("a", RunState::Failed, 0), 1, Instant());
    EXPECT_EQ(check(), RequestVerdict::Admit);
    m_registry.addReportedRun(record("b", RunState::Done, 60), 1, Instant());
    m_registry.addReportedRun(record("c", RunState::Running, 0), 1, Instant());

    EXPECT_EQ(check(), RequestVerdict::Attach);
    EXPECT_EQ(m_registry.find(RequestId("r"))->dispatches.back().agentAddress, "agent of b");
}

TEST_F(RequestRegistryTest, addReportedRun_nonIdempotentFailed_isNotRepeatable)
{
    RunRecord failed = record("a", RunState::Failed, 0);
    failed.isNonIdempotent = true;
    m_registry.addReportedRun(failed, 1, Instant());

    EXPECT_EQ(check(), RequestVerdict::NotRepeatable);
}

TEST_F(RequestRegistryTest, addReportedRun_barred_isIgnored)
{
    m_registry.addReportedRun(record("a", RunState::Barred, 0), 1, Instant());

    EXPECT_EQ(m_registry.size(), 0u);
}

TEST_F(RequestRegistryTest, expire_endedAndRunning_forgetsWhatEndedLongAgo)
{
    const Duration retention = RequestRegistrySettings().retention;
    m_registry.addReportedRun(record("a", RunState::Done, 60), 1, Instant());
    m_registry.expire(Instant(retention - Duration(1)));
    EXPECT_EQ(m_registry.size(), 1u);
    m_registry.expire(Instant(retention));
    EXPECT_EQ(m_registry.size(), 0u);

    m_registry.addReportedRun(record("b", RunState::Running, 0), 1, Instant());
    m_registry.expire(Instant(retention * 10));
    EXPECT_EQ(m_registry.size(), 1u);
}
