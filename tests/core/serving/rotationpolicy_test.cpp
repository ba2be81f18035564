#include "serving/rotationpolicy.h"

#include "seededrandom.h"

#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <set>

using namespace RadishSwitch;
using namespace std::chrono_literals;

class RotationPolicyTest : public testing::Test
{
protected:
    static constexpr Duration kTick = 100ms;

    RotationPolicyTest()
    {
        for (const char *name : {"b", "c", "d", "e"}) {
            GatewayLoadReport report;
            report.gateway = name;
            report.fullness = 0.2;
            neighbours.push_back(report);
        }
    }

    static RotationSettings settings()
    {
        RotationSettings settings;
        settings.gateway = "a";
        return settings;
    }

    void tick(double fullness, bool isRefusing = false)
    {
        now += kTick;
        if (isRefusing) {
            policy->noteRefused(RotationReason::Link, now);
        }
        policy->noteFullness(fullness, now);
        policy->update(neighbours, now);
    }

    void run(Duration span, double fullness, bool isRefusing = false)
    {
        for (Duration past{}; past < span; past += kTick) {
            tick(fullness, isRefusing);
        }
    }

    /// Refuses until the gateway leaves, then is quiet until it returns. Returns how long it was away.
    Duration leaveAndReturn()
    {
        int refusing = 0;
        while (!policy->isAway(now) && ++refusing < 20) {
            tick(1, true);
        }
        const Instant left = now;
        while (policy->isAway(now)) {
            tick(0.1);
        }
        return now - left;
    }

    SeededRandom random;
    std::optional<RotationPolicy> policy{std::in_place, random, settings()};
    std::vector<GatewayLoadReport> neighbours;
    Instant now{100s};
};

// Guards against calls that are refused although it was clear a second before that they would be.
TEST_F(RotationPolicyTest, isAway_fullForASecond_leavesBeforeRefusing)
{
    run(1s, 0.9);
    EXPECT_FALSE(policy->isAway(now));
    tick(0.9);
    EXPECT_TRUE(policy->isAway(now));
    EXPECT_EQ(policy->reason(), RotationReason::Fullness);
    EXPECT_EQ(policy->knownNeighbours(), 4);

    run(3700ms, 0.1);

    EXPECT_FALSE(policy->isAway(now));
}

// Guards against leaving because of short bursts.
TEST_F(RotationPolicyTest, isAway_burstsWithPauses_staysInRotation)
{
    for (int n = 0; n < 50; ++n) {
        run(900ms, 1.5);
        tick(0.8);
        ASSERT_FALSE(policy->isAway(now));
    }
}

// Guards against leaving because the process was stopped for a while: its two measurements say nothing about the time
// between them.
TEST_F(RotationPolicyTest, isAway_processStopped_staysInRotation)
{
    tick(2);
    now += 5s;
    tick(2);
    EXPECT_FALSE(policy->isAway(now));
    tick(0.1);
    EXPECT_FALSE(policy->isAway(now));
}

// Guards against a gateway that refuses for long without asking for fewer callers.
TEST_F(RotationPolicyTest, isAway_refusingForHalfASecond_leaves)
{
    run(500ms, 0.3, true);
    EXPECT_FALSE(policy->isAway(now));
    tick(0.3, true);
    EXPECT_TRUE(policy->isAway(now));
    EXPECT_EQ(policy->reason(), RotationReason::Link);
    EXPECT_GE(policy->fullness(now), 1);
}

// Guards against a small gateway that is filled by the same caller every few seconds, all day.
TEST_F(RotationPolicyTest, timeAway_fullAgainSoonAfterReturn_doublesUpToItsMaximum)
{
    for (const Duration least : {3s, 6s, 12s, 24s, 24s}) {
        const Duration away = leaveAndReturn();
        EXPECT_GE(away, least);
        EXPECT_LE(away, least * 6 / 5 + kTick);
        run(9s, 0.5);
    }
}

// Guards against a gateway that is out of use for long because of an overload that has passed.
TEST_F(RotationPolicyTest, timeAway_notFullFor30Seconds_isTheFirstOneAgain)
{
    leaveAndReturn();
    EXPECT_GE(leaveAndReturn(), 6s);
    run(20s, 0.5);
    const Duration unchanged = leaveAndReturn();
    EXPECT_GE(unchanged, 6s);
    EXPECT_LT(unchanged, 8s);
    run(31s, 0.5);
    EXPECT_LT(leaveAndReturn(), 4s);
}

// Guards against a gateway that returns while it still refuses what reaches it.
TEST_F(RotationPolicyTest, isAway_refusalsWhileAway_timeRunsFromTheLast)
{
    run(600ms, 1, true);
    ASSERT_TRUE(policy->isAway(now));
    run(10s, 1, true);
    run(2900ms, 0.1);
    EXPECT_TRUE(policy->isAway(now));
    run(900ms, 0.1);
    EXPECT_FALSE(policy->isAway(now));
}

// Guards against gateways that left together, return together, and get the callers of all at once.
TEST_F(RotationPolicyTest, timeAway_manyGateways_returnsAreSpread)
{
    std::set<Duration> times;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SeededRandom ownRandom(seed);
        RotationPolicy own(ownRandom, settings());
        for (Instant at{}; !own.isAway(at); at += kTick) {
            own.noteRefused(RotationReason::Processor, at);
            own.update(neighbours, at);
        }
        times.insert(own.awayUntil() - own.awaySince());
    }

    EXPECT_GT(times.size(), 15U);
    EXPECT_GT(*times.rbegin() - *times.begin(), 300ms);
    EXPECT_LE(*times.rbegin(), 3600ms);
}

// Guards against a gateway that is always nearly full, could serve what it gets, and is out of use most of the time.
TEST_F(RotationPolicyTest, isAway_nearlyFullForLong_isReadyForSevenEighthsOfEachMinute)
{
    std::deque<bool> minute;
    int away = 0;
    bool hasLeft = false;
    for (int n = 0; n < 6000; ++n) {
        tick(policy->isAway(now) ? 0.1 : 0.95);
        minute.push_back(policy->isAway(now));
        away += minute.back() ? 1 : 0;
        if (minute.size() > 600) {
            away -= minute.front() ? 1 : 0;
            minute.pop_front();
        }
        hasLeft = hasLeft || policy->isAway(now);
        ASSERT_LE(away, 75);
    }
    EXPECT_TRUE(hasLeft);
    // Refusals are not bound by that.
    leaveAndReturn();
    EXPECT_GE(policy->awayUntil() - policy->awaySince(), 6s);
}

// Guards against decisions by fullness alone where nobody knows whether the neighbours have room.
TEST_F(RotationPolicyTest, isAway_neighboursUnknown_leavesOnlyByRefusalsAndForThreeSeconds)
{
    neighbours.clear();
    run(20s, 2);
    EXPECT_FALSE(policy->isAway(now));
    for (int n = 0; n < 5; ++n) {
        EXPECT_EQ(leaveAndReturn(), 3s);
        EXPECT_EQ(policy->closingShare(now), 0);
        run(2s, 0.1);
    }
}

// Guards against a zone from which too many gateways are away while their news don't reach one another.
TEST_F(RotationPolicyTest, isAway_newsLostWhileAway_returnsThreeSecondsAfterTheLastRefusal)
{
    leaveAndReturn();
    leaveAndReturn();
    while (!policy->isAway(now)) {
        tick(1, true);
    }
    ASSERT_GE(policy->awayUntil() - now, 12s);
    run(1s, 0.1);

    neighbours.clear();
    run(1900ms, 0.1);
    EXPECT_TRUE(policy->isAway(now));
    tick(0.1);

    EXPECT_FALSE(policy->isAway(now));
}

// Guards against a zone of which too many gateways are away since two left before they knew of one another.
TEST_F(RotationPolicyTest, isAway_tooManyLeftTogether_laterInRankReturns)
{
    run(1100ms, 0.9);
    ASSERT_TRUE(policy->isAway(now));
    neighbours[0].isDiverting = true;
    neighbours[0].fullness = 1;

    tick(0.9);

    EXPECT_FALSE(policy->isAway(now));
    run(20s, 0.9);
    EXPECT_FALSE(policy->isAway(now));
}

// Guards against gateways that leave where all of a zone are full: their callers would only fill the others.
TEST_F(RotationPolicyTest, isAway_wholeZoneFull_staysInRotation)
{
    for (GatewayLoadReport &it : neighbours) {
        it.fullness = 0.95;
    }
    run(30s, 1, true);
    EXPECT_FALSE(policy->isAway(now));
}

// Guards against callers of kept connections that stay at a gateway which has left, against closing connections that
// the load balancer sends back at once, and against sending callers to neighbours without room.
TEST_F(RotationPolicyTest, closingShare_outOfUse_isAThirdWhileNeighboursHaveRoom)
{
    EXPECT_EQ(policy->closingShare(now), 0);
    run(1100ms, 0.9);
    EXPECT_TRUE(policy->isAway(now));
    run(1900ms, 0.9);
    EXPECT_EQ(policy->closingShare(now), 0);
    tick(0.9);
    EXPECT_NEAR(policy->closingShare(now), 1.0 / 3, 1e-9);
    for (GatewayLoadReport &it : neighbours) {
        it.fullness = 0.8;
    }
    tick(0.9);
    EXPECT_TRUE(policy->isAway(now));
    EXPECT_EQ(policy->closingShare(now), 0);
    run(5s, 0.1);
    EXPECT_EQ(policy->closingShare(now), 0);
}

// Guards against a gateway that keeps a long time away from before its restart.
TEST_F(RotationPolicyTest, restart_beginsWithTheFirstTimeAway)
{
    for (int n = 0; n < 4; ++n) {
        leaveAndReturn();
    }
    policy.emplace(random, settings());

    EXPECT_LT(leaveAndReturn(), 4s);
}
