#include "seededrandom.h"
#include "serving/callgate.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;
using namespace std::chrono_literals;

/// An endpoint that starts again under its id before its entry in the list shows it.
class RestartedEndpointTest : public testing::Test
{
protected:
    static constexpr std::int64_t kFirstStart = 1000;
    static constexpr std::int64_t kSecondStart = 2000;
    static constexpr std::int64_t kThirdStart = 3000;

    RestartedEndpointTest()
    {
        list("v1", kFirstStart);
        gate.setIncarnationEndedCallback([this](const EndpointId &) {
            ++ended;
        });
    }

    void list(const std::string &version, std::int64_t startedAt, bool isLeaving = false)
    {
        EndpointListing listing;
        listing.id = kEndpoint;
        listing.pool = kPool;
        listing.softwareVersion = SoftwareVersion(version);
        listing.address = kAddress;
        listing.zone = "a";
        listing.slots = 64;
        listing.startedAtMilliseconds = startedAt;
        listing.revision = ++m_revision;
        listing.isLeaving = isLeaving;
        gate.registry().list(listing, timers.now());
    }

    void crash(std::int64_t startedAt = kFirstStart)
    {
        gate.noteCrashed({kEndpoint, startedAt});
    }

    absl::Status report(std::int64_t startedAt, Duration age = 0ms)
    {
        EndpointLoadReport report;
        report.address = kAddress;
        report.startedAtMilliseconds = startedAt;
        report.age = age;
        return gate.loads().takeIn(report, timers.now());
    }

    static PlacementQuery wholeAnswer()
    {
        PlacementQuery query;
        query.call = RequestId("call");
        query.pool = kPool;
        query.deadline = Instant::max();
        return query;
    }

    static PlacementQuery newStream()
    {
        PlacementQuery query = wholeAnswer();
        query.beginsStream = true;
        return query;
    }

    static PlacementQuery continuedStream(const std::string &version)
    {
        PlacementQuery query = wholeAnswer();
        query.requiredVersion = SoftwareVersion(version);
        return query;
    }

    /// Whether a call is placed at once.
    bool isPlaced(const PlacementQuery &query)
    {
        bool isPlaced = false;
        gate.place(query, [&](const absl::StatusOr<Placement> &placement) {
            isPlaced = placement.ok();
            if (placement.ok()) {
                gate.noteEnded(placement->id, RunEnd::Ok);
            }
        });
        gate.cancel(query.call, kPool);
        return isPlaced;
    }

    Placement place(const PlacementQuery &query)
    {
        Placement placed;
        gate.place(query, [&](const absl::StatusOr<Placement> &placement) {
            ASSERT_TRUE(placement.ok()) << placement.status();
            placed = *placement;
        });
        return placed;
    }

    /// Whether the endpoint is taken for one of unknown version.
    void expectUnknownVersion()
    {
        EXPECT_TRUE(isPlaced(wholeAnswer()));
        EXPECT_FALSE(isPlaced(newStream()));
        EXPECT_FALSE(isPlaced(continuedStream("v1")));
        EXPECT_FALSE(isPlaced(continuedStream("v2")));
        EXPECT_FALSE(isPlaced(continuedStream("")));
    }

    void expectVersion(const std::string &version, const std::string &other)
    {
        EXPECT_TRUE(isPlaced(wholeAnswer()));
        EXPECT_TRUE(isPlaced(continuedStream(version)));
        EXPECT_FALSE(isPlaced(continuedStream(other)));
    }

    static inline const EndpointId kEndpoint{"engine"};
    static inline const PoolId kPool{"llm"};
    static constexpr char kAddress[] = "10.0.0.1:1";

    VirtualTimerService timers;
    SeededRandom random{5};
    CallGate gate{timers, random, "self", "a"};
    int ended = 0;

private:
    std::uint64_t m_revision = 0;
};

// Guards against streams that begin or go on by the version of an entry whose process has ended.
TEST_F(RestartedEndpointTest, crash_entryUnchanged_takesOnlyWhatCannotMix)
{
    expectVersion("v1", "v2");
    crash();
    EXPECT_EQ(ended, 1);
    expectUnknownVersion();
    list("v1", kFirstStart);
    expectUnknownVersion();
}

// Guards against an endpoint that takes no streams any more after a restart.
TEST_F(RestartedEndpointTest, entryOfTheNextIncarnation_takesStreamsOfItsVersion)
{
    crash();
    list("v2", kSecondStart);
    expectVersion("v2", "v1");
    EXPECT_EQ(gate.registry().countAwaitingEntry(), 0U);
}

// Guards against the same where the endpoint goes back to the version that it had.
TEST_F(RestartedEndpointTest, startedAgainWithTheSameVersion_takesItsStreams)
{
    crash();
    list("v1", kSecondStart);
    expectVersion("v1", "v2");
    EXPECT_TRUE(isPlaced(newStream()));
}

// Guards against the start that a home reports being dropped as one of an incarnation that is not listed.
TEST_F(RestartedEndpointTest, reportOfLaterStart_entryUnchanged_takesOnlyWhatCannotMix)
{
    EXPECT_TRUE(report(kSecondStart).ok());
    EXPECT_EQ(ended, 1);
    expectUnknownVersion();
    EXPECT_TRUE(report(kSecondStart).ok());
    EXPECT_EQ(ended, 1);
    list("v2", kSecondStart);
    expectVersion("v2", "v1");
}

// Guards against a delayed report of the incarnation before.
TEST_F(RestartedEndpointTest, reportOfEarlierStart_changesNothing)
{
    list("v2", kSecondStart);
    EXPECT_FALSE(report(kFirstStart).ok());
    EXPECT_EQ(ended, 0);
    expectVersion("v2", "v1");
}

// Guards against an entry of the second incarnation that is taken for that of the third.
TEST_F(RestartedEndpointTest, startedAgainTwice_entryOfTheSecond_isNotTaken)
{
    EXPECT_TRUE(report(kSecondStart).ok());
    EXPECT_TRUE(report(kThirdStart).ok());
    list("v2", kSecondStart);
    expectUnknownVersion();
    list("v1", kThirdStart);
    expectVersion("v1", "v2");
}

// Guards against a crash of the second incarnation that is taken for the known one of the first.
TEST_F(RestartedEndpointTest, crashedAgainBeforeItsEntry_isSeen)
{
    crash();
    const Placement placement = place(wholeAnswer());
    EXPECT_TRUE(report(kSecondStart).ok());
    crash(placement.startedAtMilliseconds);
    EXPECT_EQ(ended, 2);
    list("v2", kSecondStart);
    expectUnknownVersion();
}

// Guards against late news of a crash that ends the incarnation after it.
TEST_F(RestartedEndpointTest, crashOfEarlierIncarnation_changesNothing)
{
    list("v2", kSecondStart);
    crash(kFirstStart);
    EXPECT_EQ(ended, 0);
    expectVersion("v2", "v1");
}

// Guards against an endpoint that takes no streams any more since it refused a connection and had not ended.
TEST_F(RestartedEndpointTest, laterReportOfTheSameStart_versionIsKnownAgain)
{
    crash();
    timers.advance(500ms);
    (void)report(kFirstStart);
    expectUnknownVersion();
    timers.advance(2s);
    EXPECT_TRUE(report(kFirstStart, 100ms).ok());
    expectVersion("v1", "v2");
    EXPECT_TRUE(isPlaced(newStream()));
}

// Guards against an endpoint that has left and is sent calls again since it refuses connections.
TEST_F(RestartedEndpointTest, crashOfLeavingEndpoint_getsNoCalls)
{
    list("v1", kFirstStart, true);
    crash();
    EXPECT_FALSE(isPlaced(wholeAnswer()));
}

// Guards against the word of the earlier incarnation that it leaves, or wants nothing, being applied to the next one.
TEST_F(RestartedEndpointTest, wordsOfEarlierIncarnation_endWithIt)
{
    const Placement placement = place(wholeAnswer());
    EndpointNotice notice;
    notice.isLeaving = true;
    notice.backoff = 10s;
    gate.noteNotice(placement.id, notice);
    EXPECT_FALSE(isPlaced(wholeAnswer()));
    EXPECT_TRUE(report(kSecondStart).ok());
    EXPECT_TRUE(isPlaced(wholeAnswer()));
}

// Guards against a backoff that is forgotten when the entry of the incarnation appears that asked for it.
TEST_F(RestartedEndpointTest, entryAppears_backoffStaysInForce)
{
    crash();
    const Placement placement = place(wholeAnswer());
    EndpointNotice notice;
    notice.backoff = 10s;
    gate.noteNotice(placement.id, notice);
    list("v2", kSecondStart);
    EXPECT_FALSE(isPlaced(wholeAnswer()));
}

// Guards against a call that is sent to an incarnation that nobody has chosen.
TEST_F(RestartedEndpointTest, incarnationEndsBeforeSending_callIsNotSent)
{
    const Placement placement = place(continuedStream("v1"));
    EXPECT_TRUE(gate.mayStillBeSent(placement.id));
    EXPECT_EQ(gate.writerVersion(placement), SoftwareVersion("v1"));
    EXPECT_TRUE(report(kSecondStart).ok());
    EXPECT_FALSE(gate.mayStillBeSent(placement.id));
    EXPECT_FALSE(gate.isAtCurrentIncarnation(placement.id));
    EXPECT_TRUE(gate.writerVersion(placement).isEmpty());
}

// Guards against a pool that counts as one of several versions since the version of an endpoint is not known.
TEST_F(RestartedEndpointTest, unknownVersion_isNoFurtherVersionOfThePool)
{
    crash();
    timers.advance(5s);
    gate.noteRegistryChanged();
    EXPECT_EQ(gate.registry().versions().onlyVersion(kPool), SoftwareVersion("v1"));
}

// Guards against a stream that waits for its deadline though no endpoint may take it.
TEST_F(RestartedEndpointTest, newStream_withoutEndpointOfKnownVersion_isRefusedAtOnce)
{
    crash();
    absl::Status refused;
    gate.place(newStream(), [&](const absl::StatusOr<Placement> &placement) {
        refused = placement.status();
    });
    EXPECT_FALSE(refused.ok());
    EXPECT_EQ(gate.waiting(), 0U);
}
