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

/// Two gateways and an endpoint that says something of itself.
class SoakWordsTest : public SoakRecordTest
{
protected:
    void send(const std::string &id, int gateway, std::int64_t at)
    {
        SoakCall call{id, SoakKind::Safe, "o", 503, ""};
        call.gateway = gateway;
        call.span = {at, at + 10};
        record.calls.push_back(call);
        record.words.push_back({SoakWord::Kind::Arrival, 0, id, at + 5});
    }

    void say(SoakWord::Kind kind, const std::string &id, std::int64_t at)
    {
        record.words.push_back({kind, 0, id, at});
    }

    /// A gateway is told to wait until 3,000, and sends so many calls there after 600.
    void sendWhileBackedOff(int gateway, int count)
    {
        send("told", 1, 0);
        say(SoakWord::Kind::Backoff, "told", 3'000);
        for (int n = 0; n < count; ++n) {
            send("later-" + std::to_string(n), gateway, 600 + n);
        }
    }
};

TEST_F(SoakWordsTest, thirdCallDuringABackoff_isFound)
{
    sendWhileBackedOff(1, 3);
    EXPECT_EQ(broken(), 1U);
}

TEST_F(SoakWordsTest, twoCallsOrThoseOfAnotherGateway_breakNothing)
{
    sendWhileBackedOff(1, 2);
    EXPECT_EQ(broken(), 0U);
    record.words.clear();
    record.calls.clear();
    sendWhileBackedOff(2, 9);
    EXPECT_EQ(broken(), 0U);
}

TEST_F(SoakWordsTest, laterLifeOrATroubledGateway_isExcused)
{
    sendWhileBackedOff(1, 3);
    record.troubles.push_back({SoakTrouble::Part::Gateway, 1, {100, 200}});
    EXPECT_EQ(broken(), 0U);
    record.troubles.clear();
    record.words.insert(record.words.begin() + 2, {SoakWord::Kind::Start, 0, "replica", 300});
    EXPECT_EQ(broken(), 0U);
}

TEST_F(SoakWordsTest, callToAnEndpointThatSaidItLeaves_isFound)
{
    send("told", 1, 0);
    say(SoakWord::Kind::Leaving, "told", 5);
    send("soon", 1, 1'900);
    EXPECT_EQ(broken(), 0U);
    send("late", 1, 2'100);
    EXPECT_EQ(broken(), 1U);
    record.troubles.push_back({SoakTrouble::Part::Replica, 0, {1'000, 1'100}});
    EXPECT_EQ(broken(), 0U);
}

// Guards against a soak that overlooks a stream of two software versions, within a call or over a caller's tries.
TEST_F(SoakRecordTest, streamOfTwoVersions_isFound)
{
    const std::string first = "id: 1\ndata: c-1@v1\n\n";
    const std::string second = "id: 2\ndata: c-2@v2\n\n";
    add(SoakKind::Resumable, 200, first + second, 1, 2);
    EXPECT_EQ(broken(), 1U);
    record.calls = {{"c", SoakKind::Resumable, "o", 0, first},
                    {"d", SoakKind::Resumable, "o", 200, "id: 2\ndata: d-2@v2\n\n"}};
    record.calls[1].resumes = "c";
    record.calls[1].lastEvent = 1;
    EXPECT_EQ(broken(), 1U);
    record.calls[1].body = "id: 2\ndata: d-2@v1\n\n";
    EXPECT_EQ(broken(), 0U);
}
