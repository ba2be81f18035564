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
        record.paid["o"] = 1'000;
        record.certainlyInTime = 3'000;
    }

    /// A stream through the first gateway whose endpoint gave one event of two.
    void addCut(SoakKind kind, SoakSpan span)
    {
        SoakCall call{"c", kind, "o", 0, ReplicaServer::eventText("c", 1)};
        call.hasBegun = true;
        call.events = 2;
        call.span = span;
        record.calls.push_back(call);
        record.runs["c"] = SoakRun{1, "o", 1, {2}};
    }

    void add(SoakKind kind, int status, const std::string &body, int runs, std::int64_t events = 0)
    {
        record.calls.push_back({"c", kind, "o", status, body});
        record.calls.back().events = 2;
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
    record.calls[1].events = 2;
    EXPECT_EQ(broken(), 1U);
    record.calls[1].body = "id: 2\ndata: d-2@v1\n\n";
    EXPECT_EQ(broken(), 0U);
}

/// Streams of five events, in the tries by which a caller got them.
class SoakStreamsTest : public SoakRecordTest
{
protected:
    static constexpr std::int64_t kEvents = 5;

    static std::string events(const std::string &call, std::initializer_list<std::int64_t> ids)
    {
        std::string text;
        for (const std::int64_t id : ids) {
            text += ReplicaServer::eventText(call, id);
        }
        return text;
    }

    /// A try, complete or broken off.
    SoakCall &addTry(const std::string &id, const std::string &body, bool isComplete)
    {
        SoakCall call{id, SoakKind::Resumable, "o", isComplete ? 200 : 0, body};
        call.hasBegun = true;
        call.events = kEvents;
        call.gateway = 1;
        call.span = {0, record.certainlyInTime};
        record.calls.push_back(call);
        record.runs[id] = SoakRun{1, "o", kEvents, {3}, {"closing"}};
        return record.calls.back();
    }

    /// A try that takes up the stream "c" behind an event.
    void addContinued(const std::string &id, std::int64_t lastEvent, const std::string &body, bool isComplete)
    {
        SoakCall &call = addTry(id, body, isComplete);
        call.resumes = "c";
        call.lastEvent = lastEvent;
    }

    /// The only promise that is broken; empty if there isn't just one.
    std::string brokenSentence() const
    {
        const std::vector<std::string> broken = brokenPromises(record);
        return broken.size() == 1 ? broken.front() : std::string();
    }

    static constexpr char kName[] = "resumable stream c at gateway-1, replica-3, closing: ";
    static constexpr char kContinuedName[] =
        "resumable stream d, which takes up c behind event 2, at gateway-1, replica-3, closing: ";
};

TEST_F(SoakStreamsTest, wholeStream_inOneTryOrSeveral_breaksNothing)
{
    addTry("c", events("c", {1, 2, 3, 4, 5}), true);
    EXPECT_EQ(broken(), 0U);
    record.calls.clear();
    addTry("c", events("c", {1, 2}) + "id: 3\nda", false);
    addContinued("d", 2, events("d", {3, 4}), false);
    addContinued("e", 4, events("e", {5}), true);
    EXPECT_EQ(broken(), 0U);
    // It had all events and not the end.
    addContinued("f", 5, "", true);
    EXPECT_EQ(broken(), 0U);
}

// Guards against a soak that judges only streams that look complete.
TEST_F(SoakStreamsTest, missingEvent_isFound)
{
    for (const bool isComplete : {true, false}) {
        record.calls.clear();
        addTry("c", events("c", {1, 2, 4, 5}), isComplete);
        EXPECT_EQ(brokenSentence(), kName + std::string("event 3 is missing"));
    }
}

TEST_F(SoakStreamsTest, repeatedEvent_isFound)
{
    for (const bool isComplete : {true, false}) {
        record.calls.clear();
        addTry("c", events("c", {1, 2, 2, 3, 4, 5}), isComplete);
        EXPECT_EQ(brokenSentence(), kName + std::string("event 2 comes twice"));
    }
}

TEST_F(SoakStreamsTest, eventsOutOfOrder_areFound)
{
    for (const bool isComplete : {true, false}) {
        record.calls.clear();
        addTry("c", events("c", {1, 3, 2, 4, 5}), isComplete);
        EXPECT_EQ(brokenSentence(), kName + std::string("event 2 comes behind event 3"));
    }
}

TEST_F(SoakStreamsTest, eventOfAnotherRun_isFound)
{
    for (const bool isComplete : {true, false}) {
        record.calls.clear();
        addTry("c", events("c", {1, 2}) + events("x", {3}) + events("c", {4, 5}), isComplete);
        EXPECT_EQ(brokenSentence(), kName + std::string("event 3 is of another run"));
    }
}

TEST_F(SoakStreamsTest, completeBeforeItsLastEvent_isFound)
{
    addTry("c", events("c", {1, 2, 3}), true);
    EXPECT_EQ(brokenSentence(), kName + std::string("ended as complete behind event 3 of 5"));
    record.calls.clear();
    addTry("c", "", true);
    EXPECT_EQ(brokenSentence(), kName + std::string("ended as complete behind event 0 of 5"));
    record.calls.front().status = 0;
    EXPECT_EQ(broken(), 0U);
}

TEST_F(SoakStreamsTest, lastTryCompleteBeforeTheLastEvent_isFound)
{
    addTry("c", events("c", {1, 2}), false);
    addContinued("d", 2, events("d", {3, 4}), true);
    EXPECT_EQ(brokenSentence(), kContinuedName + std::string("ended as complete behind event 4 of 5"));
}

TEST_F(SoakStreamsTest, completeInsideAnEvent_isFound)
{
    addTry("c", events("c", {1, 2}) + "id: 3\nda", true);
    record.runs["c"].closedBehind = {2};
    EXPECT_EQ(brokenSentence(), kName + std::string("ended as complete inside the event behind 2"));
}

TEST_F(SoakStreamsTest, eventBehindTheLastOne_isFound)
{
    addTry("c", events("c", {1, 2, 3, 4, 5, 6}), true);
    EXPECT_EQ(brokenSentence(), kName + std::string("has event 6 behind its last, 5"));
}

// An endpoint that lives on and closes its connection has ended an answer that ends so.
TEST_F(SoakStreamsTest, closedByAnEndpointThatLivesOn_isExcusedAtThatEventAlone)
{
    addTry("c", events("c", {1, 2, 3}), true);
    record.runs["c"].closedBehind = {3};
    EXPECT_EQ(broken(), 0U);
    record.runs["c"].closedBehind = {2};
    EXPECT_EQ(broken(), 1U);
}

TEST_F(SoakStreamsTest, tryThatDoesNotGoOnAtItsLastEvent_isFound)
{
    for (const std::initializer_list<std::int64_t> ids :
         {std::initializer_list<std::int64_t>{1, 2, 3, 4, 5}, std::initializer_list<std::int64_t>{2, 3, 4, 5},
          std::initializer_list<std::int64_t>{4, 5}}) {
        for (const bool isComplete : {true, false}) {
            record.calls.clear();
            addTry("c", events("c", {1, 2}), false);
            addContinued("d", 2, events("d", ids), isComplete);
            EXPECT_EQ(brokenSentence(), kContinuedName + ("goes on with event " + std::to_string(*ids.begin())));
        }
    }
}

TEST_F(SoakStreamsTest, cutByTheEndpointItself_isNoCutOfTheGateway)
{
    addTry("c", events("c", {1, 2}), false);
    record.calls.front().span = {0, 100};
    EXPECT_EQ(broken(), 1U);
    record.runs["c"].wasCut = true;
    EXPECT_EQ(broken(), 0U);
}

// Guards against a soak that takes a part of a whole answer for the whole, or the bytes of another one.
TEST_F(SoakRecordTest, wholeAnswerThatIsNotWhole_isFound)
{
    const std::string whole = ReplicaServer::bodyText("c");
    add(SoakKind::Safe, 200, whole.substr(0, 4), 1);
    EXPECT_EQ(brokenPromises(record),
              std::vector<std::string>{"safe call c at gateway-0: ended as complete after 4 of "
                                       + std::to_string(whole.size()) + " bytes"});
    record.calls.front().status = 0;
    record.calls.front().hasBegun = true;
    record.calls.front().span = {0, record.certainlyInTime};
    EXPECT_EQ(broken(), 0U);
}

TEST_F(SoakRecordTest, wholeAnswerWithOtherBytes_isFound)
{
    for (const int status : {200, 0}) {
        record.calls.clear();
        add(SoakKind::Order, status, ReplicaServer::bodyText("d"), 1);
        record.calls.front().hasBegun = true;
        record.calls.front().span = {0, record.certainlyInTime};
        EXPECT_EQ(brokenPromises(record),
                  std::vector<std::string>{"order c at gateway-0: holds other bytes than its answer"});
    }
}
