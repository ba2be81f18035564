#include "crashreports.h"
#include "limitnews.h"
#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "newslistener.h"
#include "seededrandom.h"
#include "serving/objectfollower.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

/// Two gateways that tell each other what they see through a store in memory, in virtual time.
class NewsOfGatewaysTest : public testing::Test
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    struct Member {
        Member(MemoryObjectStore &store, VirtualTimerService &timers, SeededRandom &random, const std::string &name)
            : gate(timers, random, name, "a")
            , reports(store, timers, random, name, detector)
            , limits(store, timers, random, gate)
            , follower(store, timers, random, kNewsPrefix, news)
        {
            EndpointListing listing;
            listing.id = EndpointId("engine");
            listing.pool = PoolId("llm");
            gate.registry().list(listing, timers.now());
            news.add(kCrashKeys, reports);
            news.add(kLimitKeys, limits);
            follower.start();
        }

        bool isLimited(Instant now) const
        {
            return gate.registry().countLimited(now) == 1;
        }

        PoisonDetector detector;
        CallGate gate;
        CrashReports reports;
        LimitNews limits;
        NewsListener news;
        ObjectFollower follower;
    };

    NewsOfGatewaysTest()
    {
        pass(Milliseconds(10));
    }

    void pass(Duration span)
    {
        const Instant end = timers.now() + span;
        while (timers.now() < end) {
            tasks.runAll();
            timers.advance(Milliseconds(5));
        }
        tasks.runAll();
    }

    static RequestFingerprint request()
    {
        return RequestFingerprint::of("POST", "/a", "magnolia", "poison");
    }

    void crash(Member &at, int count)
    {
        for (int n = 0; n < count; ++n) {
            const int before = at.detector.countedCrashes(request());
            at.reports.addCrashed({{EndpointId("engine-" + std::to_string(++m_crashes)), 0}, request(), before});
            pass(Milliseconds(700));
        }
    }

    std::size_t objects(const std::string &prefix) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(store.objects(), [&prefix](const auto &entry) {
            return entry.first.starts_with(prefix);
        }));
    }

    ManualTaskQueue tasks;
    MemoryObjectStore store{tasks};
    VirtualTimerService timers;
    SeededRandom random{3};
    Member one{store, timers, random, "one"};
    Member two{store, timers, random, "two"};

private:
    int m_crashes = 0;
};

// Guards against crashes that count only where they were seen.
TEST_F(NewsOfGatewaysTest, crashesSeenByBoth_countAtBoth)
{
    crash(one, 2);
    crash(two, 1);
    EXPECT_TRUE(one.detector.isBarred(request()));
    EXPECT_TRUE(two.detector.isBarred(request()));
    pass(std::chrono::seconds(2));
    EXPECT_EQ(objects("news/crash.barred."), 1U);
}

// Guards against reports that are lost with an outage of the store.
TEST_F(NewsOfGatewaysTest, crashesWhileTheStoreIsAway_areKnownAfterIt)
{
    store.setAway(true);
    crash(one, 3);
    EXPECT_TRUE(one.detector.isBarred(request()));
    EXPECT_FALSE(two.detector.isBarred(request()));
    store.setAway(false);
    pass(std::chrono::seconds(2));
    EXPECT_TRUE(two.detector.isBarred(request()));
}

// Guards against a report that is written twice because the answer to the first writing was lost.
TEST_F(NewsOfGatewaysTest, reportWhoseAnswerIsLost_countsOnce)
{
    store.loseAnswersOfNextWrites(2);
    crash(one, 1);
    pass(std::chrono::seconds(3));
    EXPECT_EQ(objects("news/crash.report."), 1U);
    EXPECT_EQ(two.detector.crashes(request()), 1U);
}

// Guards against a gateway that starts and lets through what the others refuse.
TEST_F(NewsOfGatewaysTest, gatewayThatStartsLater_knowsWhatIsBarred)
{
    crash(one, 3);
    pass(std::chrono::seconds(2));
    Member late(store, timers, random, "late");
    pass(Milliseconds(100));
    EXPECT_TRUE(late.detector.isBarred(request()));
}

// Guards against a request that stays refused at other gateways after it was answered.
TEST_F(NewsOfGatewaysTest, barredRequestThatIsAnswered_isFreeAtBoth)
{
    crash(one, 3);
    pass(std::chrono::seconds(2));
    ASSERT_TRUE(two.detector.isBarred(request()));
    two.reports.addAnswered(request());
    pass(std::chrono::seconds(1));
    EXPECT_FALSE(one.detector.isBarred(request()));
    EXPECT_FALSE(two.detector.isBarred(request()));
    EXPECT_EQ(objects("news/crash.barred."), 0U);
}

// Guards against a store that fills with what nobody remembers.
TEST_F(NewsOfGatewaysTest, oldReportsAndBars_areRemovedAndForgotten)
{
    crash(one, 3);
    pass(std::chrono::seconds(2));
    timers.advance(std::chrono::minutes(13));
    for (int n = 0; n < 5; ++n) {
        one.reports.removeOld();
        two.reports.removeOld();
        pass(std::chrono::seconds(2));
    }
    EXPECT_EQ(objects(kNewsPrefix), 0U);
    EXPECT_TRUE(one.detector.isEmpty());
    EXPECT_TRUE(two.detector.isEmpty());
}

// Guards against a gateway that ends over what another writer left under its prefix.
TEST_F(NewsOfGatewaysTest, objectsThatCantBeRead_areIgnored)
{
    for (const std::string key : {"news/crash.report.x", "news/crash.barred.zz", "news/limit.engine", "news/other"}) {
        store.put(key, "no JSON", 0, [](const absl::StatusOr<std::uint64_t> &) {});
    }
    pass(std::chrono::seconds(1));
    EXPECT_TRUE(one.detector.isEmpty());
    EXPECT_FALSE(one.isLimited(timers.now()));
    crash(one, 3);
    EXPECT_TRUE(two.detector.isBarred(request()));
}

// Guards against a gateway with no part in a limit that hears neither of it nor of its end.
TEST_F(NewsOfGatewaysTest, limitThatOneHears_holdsAtBothUntilOneHearsItsEnd)
{
    one.limits.noteHeard(EndpointId("engine"), 1.5);
    pass(std::chrono::seconds(1));
    EXPECT_TRUE(two.isLimited(timers.now()));
    two.limits.noteHeard(EndpointId("engine"), std::nullopt);
    pass(std::chrono::seconds(1));
    EXPECT_FALSE(one.isLimited(timers.now()));
    EXPECT_EQ(objects(kLimitKeys), 0U);
}

// Guards against a call to the store with each answer.
TEST_F(NewsOfGatewaysTest, limitThatHardlyChanges_isToldNowAndThen)
{
    const int before = store.writes();
    for (int n = 0; n < 200; ++n) {
        Member &at = n % 2 == 0 ? one : two;
        at.limits.noteHeard(EndpointId("engine"), 1.5 + 0.01 * (n % 5));
        pass(Milliseconds(100));
    }
    EXPECT_LE(store.writes() - before, 6);
    EXPECT_TRUE(one.isLimited(timers.now()));
    EXPECT_TRUE(two.isLimited(timers.now()));
}

// Guards against a limit that stays in the store after its endpoint has ended.
TEST_F(NewsOfGatewaysTest, limitOfWhichNothingIsHeard_isRemoved)
{
    one.limits.noteHeard(EndpointId("engine"), 1.5);
    pass(std::chrono::seconds(1));
    for (int n = 0; n < 40; ++n) {
        pass(std::chrono::seconds(2));
        one.limits.removeOld();
        two.limits.removeOld();
    }
    EXPECT_EQ(objects(kLimitKeys), 0U);
    EXPECT_FALSE(two.isLimited(timers.now()));
}
