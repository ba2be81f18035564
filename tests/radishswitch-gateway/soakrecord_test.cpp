#include "replicaserver.h"
#include "soakrecord.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

/// What the soak says must be right, or its runs prove nothing.
class SoakRecordTest : public testing::Test
{
protected:
    SoakRecordTest()
    {
        record.promptTokens = 100;
        record.tokensPerEvent = 7;
        record.eventsOfStream = 2;
        record.paid["o"] = 1'000;
        record.certainlyInTime = 3'000;
    }

    /// A stream through the first gateway whose endpoint gave one event of two.
    void addCut(SoakKind kind, SoakSpan span)
    {
        SoakCall call{"c", kind, "o", 0, ReplicaServer::eventText("c", 1)};
        call.hasBegun = true;
        call.span = span;
        record.calls.push_back(call);
        record.runs["c"] = SoakRun{1, "o", 1, {2}};
    }

    void add(SoakKind kind, int status, const std::string &body, int runs, std::int64_t events = 0)
    {
        record.calls.push_back({"c", kind, "o", status, body});
        record.runs["c"] = SoakRun{runs, "o", events};
    }

    std::size_t broken() const
    {
        return brokenPromises(record).size();
    }

    SoakRecord record;
};

TEST_F(SoakRecordTest, wholeAnswersAndTrueRefusals_breakNothing)
{
    add(SoakKind::Order, 200, ReplicaServer::bodyText("c"), 1);
    EXPECT_EQ(broken(), 0U);
    record.calls = {{"d", SoakKind::Order, "o", 503, ""}, {"e", SoakKind::Once, "o", 0, ""}};
    EXPECT_EQ(broken(), 0U);
}

TEST_F(SoakRecordTest, halfStreamThatLooksWhole_isFound)
{
    add(SoakKind::Once, 200, ReplicaServer::eventText("c", 1), 1, 1);
    EXPECT_EQ(broken(), 1U);
}

TEST_F(SoakRecordTest, orderThatRanTwice_isFound)
{
    add(SoakKind::Order, 502, "", 2);
    EXPECT_EQ(broken(), 1U);
}

TEST_F(SoakRecordTest, refusalOfAnOrderThatRan_isFound)
{
    add(SoakKind::Order, 503, "", 1);
    EXPECT_EQ(broken(), 1U);
}

TEST_F(SoakRecordTest, overspentBudget_isFound)
{
    record.paid["o"] = 113;
    add(SoakKind::Resumable, 0, "", 1, 2);
    EXPECT_EQ(broken(), 1U);
}

TEST_F(SoakRecordTest, runForAnotherOrganisation_isFound)
{
    add(SoakKind::Safe, 200, ReplicaServer::bodyText("c"), 1);
    record.runs["c"].organisation = "p";
    EXPECT_EQ(broken(), 1U);
}

// A stream that has begun breaks off with time left, and its gateway and endpoint are well.
// No caller can tell why, and nothing was done that would explain it.
TEST_F(SoakRecordTest, begunStreamCutWithTimeLeft_isFound)
{
    record.troubles = {{SoakTrouble::Part::Gateway, 1, {0, 9'000}}, {SoakTrouble::Part::Replica, 0, {0, 9'000}}};
    addCut(SoakKind::Resumable, {1'000, 2'300});
    EXPECT_EQ(broken(), 1U);
}

TEST_F(SoakRecordTest, begunStreamCutAtItsDeadline_breaksNothing)
{
    addCut(SoakKind::Once, {1'000, 4'000});
    EXPECT_EQ(broken(), 0U);
}

TEST_F(SoakRecordTest, begunStreamOfGatewayOrEndpointInTrouble_breaksNothing)
{
    addCut(SoakKind::Once, {1'000, 2'300});
    record.troubles = {{SoakTrouble::Part::Gateway, 0, {2'200, 2'400}}};
    EXPECT_EQ(broken(), 0U);
    record.troubles = {{SoakTrouble::Part::Replica, 2, {500, 1'000}}};
    EXPECT_EQ(broken(), 0U);
    record.troubles = {{SoakTrouble::Part::Replica, 2, {2'301, 2'400}}};
    EXPECT_EQ(broken(), 1U);
}

TEST_F(SoakRecordTest, callThatNeverBegan_isNoCutStream)
{
    record.calls = {{"c", SoakKind::Resumable, "o", 0, ""}};
    record.runs["c"] = SoakRun{1, "o", 0, {2}};
    EXPECT_EQ(broken(), 0U);
}
