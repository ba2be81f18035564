#include "crashreports.h"
#include "limitreports.h"
#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "partbars.h"
#include "reportrouter.h"
#include "seededrandom.h"
#include "serving/objectfollower.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

/// Two gateways that exchange crash reports and limits through an in-memory store, in virtual time.
class GatewayReportsTest : public testing::Test
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    struct TestGateway {
        TestGateway(MemoryObjectStore &store, VirtualTimerService &timers, SeededRandom &random,
                    const std::string &name)
            : gate(timers, random, name, "a")
            , reports(store, timers, random, name, detector, parts, [] {})
            , bars(store, timers, random, parts)
            , limits(store, timers, random, gate)
            , follower(store, timers, random, kReportPrefix, news)
        {
            EndpointListing listing;
            listing.id = EndpointId("engine");
            listing.pool = PoolId("llm");
            gate.registry().list(listing, timers.now());
            news.add(kCrashPrefix, reports);
            news.add(kPartBarPrefix, bars);
            news.add(kLimitPrefix, limits);
            follower.start();
        }

        bool isLimited(Instant now) const
        {
            return gate.registry().countLimited(now) == 1;
        }

        PoisonDetector detector;
        PoisonPartDetector parts;
        CallGate gate;
        CrashReports reports;
        PartBars bars;
        LimitReports limits;
        ReportRouter news;
        ObjectFollower follower;
    };

    GatewayReportsTest()
    {
        advanceTime(Milliseconds(10));
    }

    void advanceTime(Duration span)
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

    void crash(TestGateway &at, int count)
    {
        for (int n = 0; n < count; ++n) {
            const int before = at.detector.countedCrashes(request());
            at.reports.addCrashed({{EndpointId("engine-" + std::to_string(++m_crashes)), 0}, request(), before});
            advanceTime(Milliseconds(700));
        }
    }

    static SharedPrompt poisonPrompt(const std::string &organisation)
    {
        return {PoolId("llm"), OrganisationId(organisation), {0x5a, 0xbad}};
    }

    /// Endpoints crash as they begin to answer prompts with a poison part, until the gateway bars it.
    void crashWithPart(TestGateway &at)
    {
        for (int n = 0; n < 3; ++n) {
            const EndpointIncarnation incarnation{EndpointId("engine-" + std::to_string(++m_crashes)), 0};
            const auto content = RequestFingerprint::of("POST", "/a", "magnolia", std::to_string(m_crashes));
            at.reports.addCrashed({incarnation, content, 0, poisonPrompt("org-" + std::to_string(n))});
            advanceTime(Milliseconds(700));
        }
        advanceTime(std::chrono::seconds(2));
        updateParts(one);
        updateParts(two);
    }

    void updateParts(TestGateway &at)
    {
        for (const std::uint64_t part : at.parts.update(timers.now())) {
            at.bars.announce(part);
        }
        advanceTime(std::chrono::seconds(1));
    }

    /// Lets time pass while prompts with the part arrive at one gateway.
    void refuseFor(TestGateway &at, Duration span)
    {
        const Instant end = timers.now() + span;
        while (timers.now() < end) {
            timers.advance(std::chrono::seconds(30));
            tasks.runAll();
            if (const auto part = at.parts.barredPart(poisonPrompt("magnolia"))) {
                at.bars.noteRefused(*part);
            }
            removeExpired();
        }
    }

    void removeExpired()
    {
        for (TestGateway *it : {&one, &two}) {
            it->reports.removeExpired();
            it->bars.removeExpired();
        }
        advanceTime(Milliseconds(50));
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
    TestGateway one{store, timers, random, "one"};
    TestGateway two{store, timers, random, "two"};

private:
    int m_crashes = 0;
};

// Guards against crashes that count only at the gateway that saw them.
TEST_F(GatewayReportsTest, crashesSeenAtDifferentGateways_countAtBoth)
{
    crash(one, 2);
    crash(two, 1);
    EXPECT_TRUE(one.detector.isBarred(request()));
    EXPECT_TRUE(two.detector.isBarred(request()));
    advanceTime(std::chrono::seconds(2));
    EXPECT_EQ(objects("news/crash.barred."), 1U);
}

// Guards against reports that are lost during an outage of the store.
TEST_F(GatewayReportsTest, crashesDuringStoreOutage_arePublishedAfterIt)
{
    store.setUnavailable(true);
    crash(one, 3);
    EXPECT_TRUE(one.detector.isBarred(request()));
    EXPECT_FALSE(two.detector.isBarred(request()));
    store.setUnavailable(false);
    advanceTime(std::chrono::seconds(2));
    EXPECT_TRUE(two.detector.isBarred(request()));
}

// Guards against a report that counts twice because the answer to its first write was lost and the write was repeated.
TEST_F(GatewayReportsTest, reportWithLostWriteAnswer_countsOnce)
{
    store.loseAnswersOfNextWrites(2);
    crash(one, 1);
    advanceTime(std::chrono::seconds(3));
    EXPECT_EQ(objects("news/crash.report."), 1U);
    EXPECT_EQ(two.detector.crashes(request()), 1U);
}

// Guards against a newly started gateway that sends requests which the others refuse.
TEST_F(GatewayReportsTest, gatewayStartedLater_knowsBarredRequests)
{
    crash(one, 3);
    advanceTime(std::chrono::seconds(2));
    TestGateway late(store, timers, random, "late");
    advanceTime(Milliseconds(100));
    EXPECT_TRUE(late.detector.isBarred(request()));
}

// Guards against a request that other gateways still refuse after an endpoint has answered it.
TEST_F(GatewayReportsTest, barredRequestAnswered_isAllowedAtBothGateways)
{
    crash(one, 3);
    advanceTime(std::chrono::seconds(2));
    ASSERT_TRUE(two.detector.isBarred(request()));
    two.reports.addAnswered(request());
    advanceTime(std::chrono::seconds(1));
    EXPECT_FALSE(one.detector.isBarred(request()));
    EXPECT_FALSE(two.detector.isBarred(request()));
    EXPECT_EQ(objects("news/crash.barred."), 0U);
}

// Guards against poison parts that a gateway learns of only by crashes of its own.
TEST_F(GatewayReportsTest, barredPart_isKnownToAllGatewaysAlsoToOneStartedLater)
{
    crashWithPart(one);
    EXPECT_TRUE(one.parts.barredPart(poisonPrompt("magnolia")));
    EXPECT_TRUE(two.parts.barredPart(poisonPrompt("magnolia")));
    EXPECT_EQ(objects(kPartBarPrefix), 1U);
    TestGateway late(store, timers, random, "late");
    advanceTime(Milliseconds(100));
    EXPECT_TRUE(late.parts.barredPart(poisonPrompt("magnolia")));
}

// Guards against a bar that ends with the reports of the crashes though such prompts still arrive.
TEST_F(GatewayReportsTest, barOfPartInUse_holdsWhenReportsHaveExpired)
{
    crashWithPart(one);
    refuseFor(two, std::chrono::minutes(45));
    EXPECT_EQ(objects(kCrashPrefix), 0U);
    EXPECT_TRUE(one.parts.barredPart(poisonPrompt("magnolia")));
    EXPECT_TRUE(two.parts.barredPart(poisonPrompt("magnolia")));
}

// Guards against a store that fills up with parts that nobody sends any more.
TEST_F(GatewayReportsTest, barOfPartNotInUse_expires)
{
    crashWithPart(one);
    for (int n = 0; n < 60; ++n) {
        timers.advance(std::chrono::seconds(30));
        tasks.runAll();
        removeExpired();
    }
    EXPECT_EQ(objects(kReportPrefix), 0U);
    EXPECT_TRUE(one.parts.isEmpty());
    EXPECT_TRUE(two.parts.isEmpty());
}

// Guards against a part that the others still refuse after an endpoint has answered a prompt with it.
TEST_F(GatewayReportsTest, barredPartAnswered_isAllowedAtBothGateways)
{
    crashWithPart(one);
    two.parts.noteAnswered(poisonPrompt("magnolia"));
    for (const std::uint64_t part : two.parts.takeLifted()) {
        two.bars.withdraw(part);
    }
    two.reports.addExonerated(two.parts.takeUnreported());
    advanceTime(std::chrono::seconds(1));
    EXPECT_FALSE(one.parts.barredPart(poisonPrompt("magnolia")));
    EXPECT_FALSE(two.parts.barredPart(poisonPrompt("magnolia")));
    EXPECT_EQ(objects(kPartBarPrefix), 0U);
}

// Guards against a part that stays barred though it was barred by chance, and against a trial at each gateway.
TEST_F(GatewayReportsTest, barredPart_getsOneTrialInTheFleetAtGrowingIntervals)
{
    crashWithPart(one);
    int trials = 0;
    const auto tryFor = [&](Duration span) {
        const Instant end = timers.now() + span;
        while (timers.now() < end) {
            advanceTime(std::chrono::seconds(1));
            for (TestGateway *it : {&one, &two}) {
                it->bars.noteRefused(0xbad);
                trials += it->bars.takeTrial(0xbad) ? 1 : 0;
            }
        }
    };
    tryFor(std::chrono::seconds(50));
    EXPECT_EQ(trials, 0);
    tryFor(std::chrono::seconds(30));
    EXPECT_EQ(trials, 1);
    tryFor(std::chrono::minutes(9));
    EXPECT_EQ(trials, 1);
    tryFor(std::chrono::minutes(3));
    EXPECT_EQ(trials, 2);
}

// Guards against gateways that overwrite each other's announcements because one knows of fewer crashes.
TEST_F(GatewayReportsTest, gatewayWithNarrowerPattern_keepsTheWiderAnnouncement)
{
    crashWithPart(one);
    store.setUnavailable(true);
    const EndpointIncarnation incarnation{EndpointId("engine-x"), 0};
    one.reports.addCrashed({incarnation, request(), 0, {PoolId("llm"), OrganisationId("other"), {0xbad}}});
    advanceTime(Milliseconds(200));
    store.setUnavailable(false);
    advanceTime(std::chrono::seconds(3));
    const int before = store.writes();
    for (int n = 0; n < 20; ++n) {
        one.bars.noteRefused(0xbad);
        two.bars.noteRefused(0xbad);
        advanceTime(std::chrono::seconds(1));
    }
    EXPECT_LE(store.writes() - before, 2);
}

// Guards against a write to the store for each prompt that is refused.
TEST_F(GatewayReportsTest, refusedPrompts_renewTheBarRarely)
{
    crashWithPart(one);
    const int before = store.writes();
    for (int n = 0; n < 1000; ++n) {
        TestGateway &at = n % 2 == 0 ? one : two;
        at.bars.noteRefused(0xbad);
        advanceTime(Milliseconds(20));
    }
    EXPECT_LE(store.writes() - before, 2);
}

// Guards against a store that fills up with expired reports.
TEST_F(GatewayReportsTest, expiredReports_areRemovedFromStoreAndMemory)
{
    crash(one, 3);
    advanceTime(std::chrono::seconds(2));
    timers.advance(std::chrono::minutes(13));
    for (int n = 0; n < 5; ++n) {
        one.reports.removeExpired();
        two.reports.removeExpired();
        advanceTime(std::chrono::seconds(2));
    }
    EXPECT_EQ(objects(kReportPrefix), 0U);
    EXPECT_TRUE(one.detector.isEmpty());
    EXPECT_TRUE(two.detector.isEmpty());
}

// Guards against a gateway that fails on an object which another process wrote under the prefix.
TEST_F(GatewayReportsTest, unreadableObjects_areIgnored)
{
    for (const std::string key : {"news/crash.report.x", "news/crash.barred.zz", "news/limit.engine",
                                  "news/poison_part.x", "news/poison_part.bad", "news/other"}) {
        store.put(key, "no JSON", 0, [](const absl::StatusOr<std::uint64_t> &) {});
    }
    advanceTime(std::chrono::seconds(1));
    EXPECT_TRUE(one.detector.isEmpty());
    EXPECT_TRUE(one.parts.isEmpty());
    EXPECT_FALSE(one.isLimited(timers.now()));
    crash(one, 3);
    EXPECT_TRUE(two.detector.isBarred(request()));
}

// Guards against a gateway without a share of a limit that learns neither of the limit nor of its end.
TEST_F(GatewayReportsTest, limitSeenByOneGateway_appliesAtBothUntilWithdrawn)
{
    one.limits.noteLimit(EndpointId("engine"), 1.5);
    advanceTime(std::chrono::seconds(1));
    EXPECT_TRUE(two.isLimited(timers.now()));
    two.limits.noteLimit(EndpointId("engine"), std::nullopt);
    advanceTime(std::chrono::seconds(1));
    EXPECT_FALSE(one.isLimited(timers.now()));
    EXPECT_EQ(objects(kLimitPrefix), 0U);
}

// Guards against a write to the store for each answer of an endpoint.
TEST_F(GatewayReportsTest, nearlyConstantLimit_isPublishedRarely)
{
    const int before = store.writes();
    for (int n = 0; n < 200; ++n) {
        TestGateway &at = n % 2 == 0 ? one : two;
        at.limits.noteLimit(EndpointId("engine"), 1.5 + 0.01 * (n % 5));
        advanceTime(Milliseconds(100));
    }
    EXPECT_LE(store.writes() - before, 6);
    EXPECT_TRUE(one.isLimited(timers.now()));
    EXPECT_TRUE(two.isLimited(timers.now()));
}

// Guards against a limit that stays in the store although its endpoint has ended.
TEST_F(GatewayReportsTest, limitNotSeenAgain_isRemoved)
{
    one.limits.noteLimit(EndpointId("engine"), 1.5);
    advanceTime(std::chrono::seconds(1));
    for (int n = 0; n < 40; ++n) {
        advanceTime(std::chrono::seconds(2));
        one.limits.removeExpired();
        two.limits.removeExpired();
    }
    EXPECT_EQ(objects(kLimitPrefix), 0U);
    EXPECT_FALSE(two.isLimited(timers.now()));
}
