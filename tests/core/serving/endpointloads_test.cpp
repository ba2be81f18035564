#include "serving/endpointloads.h"

#include "base/failure.h"
#include "seededrandom.h"
#include "serving/callgate.h"
#include "virtualtimerservice.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <limits>

using namespace RadishSwitch;
using namespace std::chrono_literals;

class EndpointLoadsTest : public testing::Test
{
protected:
    static std::string addressOf(int n)
    {
        return "10.0.0." + std::to_string(n) + ":80";
    }

    static EndpointListing listing(int n, std::int64_t startedAt = 1000)
    {
        EndpointListing it;
        it.id = EndpointId("e" + std::to_string(n));
        it.pool = kPool;
        it.address = addressOf(n);
        it.zone = "north";
        it.startedAtMilliseconds = startedAt;
        it.revision = static_cast<std::uint64_t>(startedAt);
        return it;
    }

    EndpointSlot list(int n, std::int64_t startedAt = 1000)
    {
        registry.list(listing(n, startedAt), now);
        return *registry.slotOf(EndpointId("e" + std::to_string(n)));
    }

    void listMany(int count)
    {
        for (int n = 0; n < count; ++n) {
            list(n);
        }
    }

    static EndpointLoadReport report(int n, Duration idleEventInterval = 10ms, Duration expectedWait = 0ms)
    {
        EndpointLoadReport it;
        it.address = addressOf(n);
        it.startedAtMilliseconds = 1000;
        it.running = 4;
        it.eventInterval = 2 * idleEventInterval;
        it.idleEventInterval = idleEventInterval;
        it.longestPause = 50ms;
        it.expectedWait = expectedWait;
        it.memoryShare = 0.5;
        return it;
    }

    void takeIn(const EndpointLoadReport &it)
    {
        const absl::Status status = loads.takeIn(it, now);
        EXPECT_TRUE(status.ok()) << status;
    }

    /// Takes in a report of each endpoint: `slow` of them take 2.4 times as long as the others.
    std::vector<SpeedChange> takeInMany(int count, int slow, Duration fastInterval = 10ms, double factor = 2.4)
    {
        for (int n = 0; n < count; ++n) {
            const double interval = static_cast<double>(fastInterval.count()) * (n < slow ? factor : 1);
            takeIn(report(n, Duration(static_cast<Duration::rep>(interval))));
        }
        return loads.update(now);
    }

    EndpointSlot slotOf(int n) const
    {
        return *registry.slotOf(EndpointId("e" + std::to_string(n)));
    }

    LoadEstimate estimate(int n) const
    {
        const std::optional<LoadEstimate> it = loads.estimate(slotOf(n), now);
        EXPECT_TRUE(it.has_value());
        return it.value_or(LoadEstimate());
    }

    void expectRejected(const EndpointLoadReport &it, FailureCode code)
    {
        EXPECT_EQ(failureCode(loads.takeIn(it, now)), code);
        loads.update(now);
        EXPECT_EQ(loads.knownCount(), 0U);
        EXPECT_FALSE(loads.estimate(slotOf(0), now).has_value());
    }

    static inline const PoolId kPool{"llm"};
    Instant now{1h};
    EndpointRegistry registry;
    EndpointLoads loads{registry};
};

// Guards against a faulty home whose impossible values attract or repel calls.
TEST_F(EndpointLoadsTest, takeIn_impossibleValue_isRejectedAndChangesNothing)
{
    list(0);
    using Change = std::function<void(EndpointLoadReport &)>;
    const std::vector<Change> changes{
        [](auto &it) {
            it.running = -1;
        },
        [](auto &it) {
            it.running = 100'001;
        },
        [](auto &it) {
            it.waiting = -1;
        },
        [](auto &it) {
            it.waiting = 100'001;
        },
        [](auto &it) {
            it.eventInterval = -1us;
        },
        [](auto &it) {
            it.eventInterval = 60'001ms;
        },
        [](auto &it) {
            it.idleEventInterval = -1us;
        },
        [](auto &it) {
            it.idleEventInterval = Duration::max();
        },
        [](auto &it) {
            it.longestPause = -1us;
        },
        [](auto &it) {
            it.longestPause = 60'001ms;
        },
        [](auto &it) {
            it.expectedWait = -1us;
        },
        [](auto &it) {
            it.expectedWait = 60'001ms;
        },
        [](auto &it) {
            it.memoryShare = -0.01;
        },
        [](auto &it) {
            it.memoryShare = 2.01;
        },
        [](auto &it) {
            it.memoryShare = std::numeric_limits<double>::quiet_NaN();
        },
        [](auto &it) {
            it.memoryShare = std::numeric_limits<double>::infinity();
        },
    };
    for (std::size_t n = 0; n < changes.size(); ++n) {
        SCOPED_TRACE(n);
        EndpointLoadReport it = report(0);
        changes[n](it);
        expectRejected(it, FailureCode::MalformedMessage);
    }
}

// Guards against a measurement of the future, which no later one would replace, and against one of a minute ago.
TEST_F(EndpointLoadsTest, takeIn_impossibleAge_isRejected)
{
    list(0);
    for (const Duration age : {Duration(-1us), Duration(60'001ms), Duration::min(), Duration::max()}) {
        EndpointLoadReport it = report(0);
        it.age = age;
        expectRejected(it, FailureCode::MalformedMessage);
    }
}

// Guards against a process that is not in the platform's list.
TEST_F(EndpointLoadsTest, takeIn_unlistedAddress_isRejected)
{
    list(0);
    expectRejected(report(7), FailureCode::NoEndpoint);
}

// Guards against the load of an endpoint's earlier life, whose queue is gone, being taken for that of its present one.
TEST_F(EndpointLoadsTest, takeIn_otherIncarnation_isRejected)
{
    list(0, 2000);
    expectRejected(report(0), FailureCode::NoEndpoint);
    EndpointLoadReport later = report(0);
    later.startedAtMilliseconds = 3000;
    expectRejected(later, FailureCode::NoEndpoint);
}

// Guards against an endpoint that restarts and is still taken for slow and crowded.
TEST_F(EndpointLoadsTest, estimate_endpointRestarted_startsAtMedian)
{
    listMany(5);
    EndpointLoadReport crowded = report(0, 40ms, 2s);
    takeInMany(5, 0);
    takeIn(crowded);
    now += 1ms;
    takeIn(crowded);
    loads.update(now);
    EXPECT_LT(estimate(0).relativeSpeed, 0.3);
    list(0, 2000);
    EXPECT_EQ(estimate(0).relativeSpeed, 1);
    loads.update(now);
    EXPECT_EQ(estimate(0).relativeSpeed, 1);
    EXPECT_EQ(failureCode(loads.takeIn(crowded, now)), FailureCode::NoEndpoint);
    EndpointLoadReport reborn = report(0, 10ms);
    reborn.startedAtMilliseconds = 2000;
    takeIn(reborn);
    loads.update(now);
    EXPECT_EQ(estimate(0).relativeSpeed, 1);
}

// Guards against news of two lives being mixed where the platform tells no start times.
TEST_F(EndpointLoadsTest, takeIn_listingWithoutStartTime_followsTheLatestLife)
{
    list(0, 0);
    list(1);
    list(2);
    takeIn(report(1));
    takeIn(report(2));
    takeIn(report(0, 40ms));
    loads.update(now);
    EXPECT_NEAR(estimate(0).relativeSpeed, 0.25, 1e-9);
    EndpointLoadReport reborn = report(0, 0ms);
    reborn.startedAtMilliseconds = 2000;
    takeIn(reborn);
    EXPECT_EQ(failureCode(loads.takeIn(report(0, 40ms), now)), FailureCode::NoEndpoint);
    loads.update(now);
    EXPECT_EQ(estimate(0).relativeSpeed, 1);
}

// Guards against an endpoint that gets the slot of a removed one, and with it that one's load.
TEST_F(EndpointLoadsTest, estimate_slotReused_startsAtMedian)
{
    VirtualTimerService timers;
    SeededRandom random{7};
    CallGate gate(timers, random, "gateway", "north");
    for (int n = 0; n < 3; ++n) {
        gate.registry().list(listing(n), timers.now());
        ASSERT_TRUE(gate.loads().takeIn(report(n, n == 0 ? 40ms : 10ms, n == 0 ? 900ms : 0ms), timers.now()).ok());
    }
    gate.loads().update(timers.now());
    const EndpointSlot slot = *gate.registry().slotOf(EndpointId("e0"));
    EXPECT_LT(gate.loads().estimate(slot, timers.now())->relativeSpeed, 0.3);
    gate.registry().unlist(EndpointId("e0"), timers.now());
    timers.advance(5s);
    gate.noteRegistryChanged();
    gate.registry().list(listing(9), timers.now());
    ASSERT_EQ(gate.registry().slotOf(EndpointId("e9")), slot);
    const LoadEstimate typical = *gate.loads().estimate(slot, timers.now());
    EXPECT_EQ(typical.relativeSpeed, 1);
    EXPECT_EQ(typical.idleEventSeconds, 0.01);
    EXPECT_EQ(gate.loads().knownCount(), 2U);
}

// Guards against a pool without any report being placed otherwise than without load updates.
TEST_F(EndpointLoadsTest, estimate_poolWithoutReports_isNone)
{
    listMany(3);
    loads.update(now);
    EXPECT_FALSE(loads.estimate(slotOf(0), now).has_value());
    EXPECT_FALSE(loads.isUneven(kPool));
    EXPECT_EQ(loads.oldestAge(now), 0ms);
}

// Guards against estimates from reports of long ago after the load updates have ended.
TEST_F(EndpointLoadsTest, estimate_noReportsForAMinute_isNone)
{
    listMany(4);
    takeInMany(4, 1);
    now += 59s;
    EXPECT_TRUE(loads.estimate(slotOf(0), now).has_value());
    now += 2s;
    EXPECT_FALSE(loads.estimate(slotOf(0), now).has_value());
    loads.update(now);
    EXPECT_EQ(loads.knownCount(), 0U);
    EXPECT_FALSE(loads.isUneven(kPool));
}

// Guards against unreported endpoints being preferred or avoided when only a few of a pool report.
TEST_F(EndpointLoadsTest, estimate_fewReports_unreportedEndpointGetsTheirMedian)
{
    listMany(10);
    takeIn(report(0, 20ms, 300ms));
    loads.update(now);
    EXPECT_EQ(estimate(9), estimate(0));
    EXPECT_EQ(estimate(9).relativeSpeed, 1);
    EXPECT_FALSE(loads.isUneven(kPool));
}

// Guards against old reports of load that decide for seconds, and against speeds that are forgotten as fast.
TEST_F(EndpointLoadsTest, estimate_staleReport_decaysToMedian)
{
    listMany(5);
    takeInMany(5, 0);
    EndpointLoadReport crowded = report(0, 20ms, 800ms);
    crowded.running = 44;
    crowded.longestPause = 450ms;
    crowded.memoryShare = 0.9;
    now += 1ms;
    takeIn(crowded);
    loads.update(now);
    const LoadEstimate fresh = estimate(0);
    EXPECT_NEAR(fresh.waitSeconds, 0.8, 1e-9);
    EXPECT_NEAR(fresh.pauseSeconds, 0.45, 1e-9);
    EXPECT_NEAR(fresh.running, 44, 1e-9);
    EXPECT_NEAR(fresh.memoryShare, 0.9, 1e-9);
    EXPECT_NEAR(fresh.relativeSpeed, 0.5, 1e-9);
    now += 1s;
    const LoadEstimate second = estimate(0);
    EXPECT_NEAR(second.waitSeconds, (0.8 + 0.16) / 2, 1e-9);
    EXPECT_NEAR(second.pauseSeconds, (0.45 + 0.05) / 2, 1e-9);
    EXPECT_NEAR(second.running, (44 + 4) / 2.0, 1e-9);
    EXPECT_GT(second.memoryShare, 0.88);
    EXPECT_NEAR(second.relativeSpeed, 0.51, 0.01);
    now += 19s;
    const LoadEstimate stale = estimate(0);
    EXPECT_NEAR(stale.running, 4, 0.01);
    EXPECT_NEAR(stale.memoryShare, 0.7, 0.01);
    EXPECT_NEAR(stale.idleEventSeconds, 0.015, 1e-4);
}

// Guards against the age of a report being counted only from its arrival.
TEST_F(EndpointLoadsTest, estimate_reportArrivesLate_isDecayedByItsAge)
{
    listMany(5);
    takeInMany(5, 0);
    now += 3s;
    takeInMany(5, 0);
    EndpointLoadReport late = report(0);
    late.running = 20;
    late.age = 1s;
    takeIn(late);
    loads.update(now);
    EXPECT_EQ(estimate(0).running, 4) << "an older measurement has replaced a newer one";
    now += 3s;
    late.age = 1s;
    takeIn(late);
    loads.update(now);
    EXPECT_NEAR(estimate(0).running, 12, 1e-9);
}

// Guards against a message that is delivered twice counting twice, or making its reports younger.
TEST_F(EndpointLoadsTest, takeIn_sameReportTwice_changesNothing)
{
    listMany(5);
    takeInMany(5, 2);
    const LoadEstimate before = estimate(0);
    takeInMany(5, 2);
    EXPECT_EQ(estimate(0), before);
}

// Guards against an impossible speed that attracts the load of the whole fleet, or excludes an endpoint for ever.
TEST_F(EndpointLoadsTest, estimate_impossibleSpeed_isClamped)
{
    listMany(5);
    takeInMany(5, 0);
    now += 1ms;
    takeIn(report(0, 1us));
    takeIn(report(1, 25s));
    loads.update(now);
    EXPECT_EQ(estimate(0).relativeSpeed, EndpointLoads::kMaximumRelativeSpeed);
    EXPECT_EQ(estimate(0).idleEventSeconds, 0.005);
    EXPECT_EQ(estimate(1).relativeSpeed, EndpointLoads::kMinimumRelativeSpeed);
    EXPECT_EQ(estimate(1).idleEventSeconds, 0.08);
}

// Guards against memory that an engine has promised beyond what it has being rejected, and the fullest endpoint with
// it.
TEST_F(EndpointLoadsTest, takeIn_memoryOverCommitted_countsAsFull)
{
    list(0);
    EndpointLoadReport it = report(0);
    it.memoryShare = 1.2;
    takeIn(it);
    loads.update(now);
    EXPECT_EQ(estimate(0).memoryShare, 1);
}

// Guards against a slow endpoint that counts as an average one as soon as requests always wait there.
TEST_F(EndpointLoadsTest, estimate_speedNoLongerMeasured_isKept)
{
    listMany(5);
    takeInMany(5, 1);
    now += 5s;
    for (int n = 0; n < 5; ++n) {
        takeIn(report(n, n == 0 ? 0ms : 10ms));
    }
    loads.update(now);
    EXPECT_LT(estimate(0).relativeSpeed, 0.55);
    EXPECT_TRUE(loads.isUneven(kPool));
}

// Guards against herding: one endpoint was idle when it was measured, and all gateways learn it at once. Its expected
// wait must approach that of the others before the next report comes, and never exceed it.
TEST_F(EndpointLoadsTest, estimate_endpointWasIdleAMomentAgo_doesNotStayIdle)
{
    listMany(10);
    for (int n = 0; n < 10; ++n) {
        takeIn(report(n, 10ms, n == 0 ? 0ms : 400ms));
    }
    loads.update(now);
    EXPECT_EQ(estimate(0).waitSeconds, 0);
    now += 300ms;
    EXPECT_GE(estimate(0).waitSeconds, 0.45 * estimate(1).waitSeconds);
    now += 700ms;
    EXPECT_GE(estimate(0).waitSeconds, 0.85 * estimate(1).waitSeconds);
    now += 5s;
    EXPECT_NEAR(estimate(0).waitSeconds, 0.36, 1e-3);
}

// Guards against herding where less than half of the pool has a queue, so that the median wait is zero.
TEST_F(EndpointLoadsTest, estimate_thirdOfPoolHasQueue_idleEndpointsExpectMeanWait)
{
    listMany(9);
    for (int n = 0; n < 9; ++n) {
        takeIn(report(n, 10ms, n < 3 ? 600ms : 0ms));
    }
    loads.update(now);
    now += 1s;
    EXPECT_GT(estimate(8).waitSeconds, 0.15);
    EXPECT_LT(estimate(8).waitSeconds, estimate(0).waitSeconds);
}

// Guards against one endpoint with a queue of a minute making all others look crowded.
TEST_F(EndpointLoadsTest, estimate_oneHugeQueue_countsBoundedInMean)
{
    listMany(10);
    for (int n = 0; n < 10; ++n) {
        takeIn(report(n, 10ms, n == 0 ? 60s : 0ms));
    }
    loads.update(now);
    now += 2s;
    EXPECT_LE(estimate(5).waitSeconds, 0.1);
}

// Load: a third of the engines is 2.4 times slower.
TEST_F(EndpointLoadsTest, isUneven_thirdOfPoolSlow_untilSpeedsAreAlike)
{
    listMany(9);
    EXPECT_FALSE(loads.isUneven(kPool));
    takeInMany(9, 3);
    EXPECT_TRUE(loads.isUneven(kPool));
    EXPECT_FALSE(loads.isUneven(PoolId("other")));
    now += 1s;
    takeInMany(9, 3, 10ms, 1.5);
    EXPECT_TRUE(loads.isUneven(kPool)) << "between the two bounds the state must stay";
    now += 1s;
    takeInMany(9, 3, 10ms, 1.35);
    EXPECT_FALSE(loads.isUneven(kPool));
    now += 1s;
    takeInMany(9, 3, 10ms, 1.5);
    EXPECT_FALSE(loads.isUneven(kPool)) << "between the two bounds the state must stay";
}

// Load: a tenth of the engines is twice as fast as the others.
TEST_F(EndpointLoadsTest, isUneven_fewFastEndpoints_isUneven)
{
    listMany(10);
    takeInMany(10, 2, 10ms, 0.5);
    EXPECT_TRUE(loads.isUneven(kPool));
}

// Guards against placement that changes with the reports of a few endpoints, and against flapping while reports are
// lost for a while.
TEST_F(EndpointLoadsTest, isUneven_reportsOfFewEndpoints_needsHalfAndKeepsWithAQuarter)
{
    listMany(12);
    takeInMany(5, 2);
    EXPECT_FALSE(loads.isUneven(kPool));
    takeInMany(6, 2);
    EXPECT_TRUE(loads.isUneven(kPool));
    now += 61s;
    takeInMany(3, 1);
    EXPECT_TRUE(loads.isUneven(kPool));
    now += 61s;
    takeInMany(2, 1);
    EXPECT_FALSE(loads.isUneven(kPool));
}

// Guards against a line for each report of a slow endpoint.
TEST_F(EndpointLoadsTest, update_endpointSlowForAWhile_isReportedOnceAtBothEnds)
{
    listMany(6);
    const std::vector<SpeedChange> began = takeInMany(6, 1);
    ASSERT_EQ(began.size(), 1U);
    EXPECT_EQ(began[0].endpoint, EndpointId("e0"));
    EXPECT_EQ(began[0].pool, kPool);
    EXPECT_TRUE(began[0].isSlow);
    EXPECT_NEAR(began[0].relativeSpeed, 1 / 2.4, 1e-3);
    now += 1s;
    EXPECT_TRUE(takeInMany(6, 1).empty());
    now += 1s;
    EXPECT_TRUE(takeInMany(6, 1, 10ms, 1.35).empty()) << "a speed of 0.74 is between the two bounds";
    now += 1s;
    const std::vector<SpeedChange> ended = takeInMany(6, 1, 10ms, 1.2);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_FALSE(ended[0].isSlow);
    now += 1s;
    EXPECT_TRUE(takeInMany(6, 1, 10ms, 1.35).empty());
}

// Guards against an endpoint that is called slow by the comparison with one other.
TEST_F(EndpointLoadsTest, update_fewReports_noEndpointIsSlow)
{
    listMany(8);
    EXPECT_TRUE(takeInMany(3, 1).empty());
}

TEST_F(EndpointLoadsTest, oldestAge_severalReports_isThatOfTheOldest)
{
    listMany(3);
    takeInMany(2, 0);
    now += 2s;
    takeIn(report(2));
    EXPECT_EQ(loads.knownCount(), 3U);
    EXPECT_EQ(loads.oldestAge(now), 2s);
    EXPECT_THAT(loads.pools(), testing::ElementsAre(kPool));
}

// Property over schedules: whatever is reported, in whatever order, estimates stay within the bounds of what was
// accepted.
TEST_F(EndpointLoadsTest, estimate_anyReportsInAnyOrder_staysWithinBounds)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(seed);
        SeededRandom random(seed);
        EndpointRegistry anyRegistry;
        EndpointLoads anyLoads(anyRegistry);
        for (int n = 0; n < 12; ++n) {
            anyRegistry.list(listing(n), now);
        }
        const auto anyTime = [&random] {
            return Duration(static_cast<Duration::rep>(random.below(3'000'000)) - 1000);
        };
        for (int step = 0; step < 2000; ++step) {
            now += Duration(static_cast<Duration::rep>(random.below(200'000)));
            EndpointLoadReport it = report(static_cast<int>(random.below(14)), anyTime(), anyTime());
            it.longestPause = anyTime();
            it.running = static_cast<int>(random.below(200)) - 5;
            it.memoryShare = random.fraction() * 2.2 - 0.1;
            it.age = anyTime();
            it.startedAtMilliseconds = random.below(10) == 0 ? 999 : 1000;
            (void)anyLoads.takeIn(it, now);
            if (random.below(3) == 0) {
                anyLoads.update(now);
            }
            if (random.below(50) == 0) {
                const auto slot = static_cast<EndpointSlot>(random.below(12));
                anyLoads.forget(slot);
            }
            for (EndpointSlot slot = 0; slot < 12; ++slot) {
                const std::optional<LoadEstimate> estimate = anyLoads.estimate(slot, now);
                if (!estimate) {
                    continue;
                }
                ASSERT_TRUE(estimate->relativeSpeed >= EndpointLoads::kMinimumRelativeSpeed);
                ASSERT_TRUE(estimate->relativeSpeed <= EndpointLoads::kMaximumRelativeSpeed);
                ASSERT_TRUE(estimate->waitSeconds >= 0 && estimate->waitSeconds <= 3);
                ASSERT_TRUE(estimate->pauseSeconds >= 0 && estimate->pauseSeconds <= 3);
                ASSERT_TRUE(estimate->idleEventSeconds >= 0 && estimate->idleEventSeconds <= 24);
                ASSERT_TRUE(estimate->running >= 0 && estimate->running <= 200);
                ASSERT_TRUE(estimate->memoryShare >= 0 && estimate->memoryShare <= 1);
            }
        }
    }
}
