#include "limits/intakebudget.h"
#include "seededrandom.h"

#include <gtest/gtest.h>

#include <set>

using namespace RadishSwitch;

namespace
{

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr IntakeBudgetSettings kSettings{10, true};
/// What a link of 10 Mbit/s carries in a millisecond.
constexpr std::int64_t kPerMillisecond = 1'250;

}

class IntakeBudgetTest : public testing::Test
{
protected:
    std::optional<RefusalReason> ask(const std::string &organisation, std::int64_t bytes)
    {
        return budget.refusalOf({OrganisationId(organisation), bytes}, now);
    }

    /// Makes the link carry this part of its bandwidth for a time, with bytes that no head declared.
    void use(double part, int milliseconds)
    {
        for (int n = 0; n < milliseconds; n += 10) {
            now += 10 * kMillisecond;
            traffic.noteOut(static_cast<std::int64_t>(part * 10 * kPerMillisecond));
            budget.queue(now);
        }
    }

    /// A second in which the link is used, "hot" sends large bodies, and "small" is seen. Ends without a queue.
    void playHotSecond()
    {
        for (int n = 0; n < 7; ++n) {
            ask("small", 500);
            ask("hot", 70'000);
            use(0.8, 140);
        }
        now += 20 * kMillisecond;
    }

    /// Makes the outgoing queue this long.
    void queueUp(int milliseconds)
    {
        budget.queue(now);
        traffic.noteOut(milliseconds * kPerMillisecond);
    }

    LinkTraffic traffic;
    SeededRandom random;
    IntakeBudget budget{kSettings, traffic, random};
    Instant now{std::chrono::seconds(100)};
};

// Guards against refusals at a link that has no queue.
TEST_F(IntakeBudgetTest, refusalOf_shortQueue_acceptsAll)
{
    queueUp(29);

    EXPECT_EQ(ask("a", 70'000), std::nullopt);
}

// Guards against a queue that grows to hundreds of milliseconds by large bodies that were accepted within one moment,
// before any byte of them was counted.
TEST_F(IntakeBudgetTest, refusalOf_largeBodiesAtOnce_acceptsTheFirst)
{
    EXPECT_EQ(ask("a", 70'000), std::nullopt);
    EXPECT_EQ(ask("a", 70'000), RefusalReason::LinkBytes);
    EXPECT_EQ(ask("b", 70'000), RefusalReason::LinkBytes);

    // Both ways of the first have drained.
    now += 120 * kMillisecond;
    EXPECT_EQ(ask("b", 70'000), std::nullopt);
}

// Guards against small requests that are refused because of large ones: they may use the queue up to 60 ms.
TEST_F(IntakeBudgetTest, refusalOf_queueOfFiftyMilliseconds_acceptsSmallOnly)
{
    queueUp(50);
    EXPECT_EQ(ask("a", 500), std::nullopt);
    EXPECT_EQ(ask("a", 2'048), std::nullopt);
    EXPECT_EQ(ask("a", 2'049), RefusalReason::LinkBytes);
}

// Guards against reservations that are late because the queue is filled up with small requests.
TEST_F(IntakeBudgetTest, refusalOf_queueOfSixtyMilliseconds_refusesAll)
{
    queueUp(60);

    EXPECT_EQ(ask("a", 0), RefusalReason::LinkBytes);
}

// Guards against one organisation that takes the link from the others: over its share it is refused from 45 ms on, and
// those within theirs are not.
TEST_F(IntakeBudgetTest, refusalOf_organisationOverItsShare_refusesItFirst)
{
    playHotSecond();
    queueUp(46);

    EXPECT_EQ(ask("hot", 500), RefusalReason::Share);
    EXPECT_EQ(ask("small", 500), std::nullopt);
}

// Guards against small requests that are late after each large body of an organisation over its share: its body is
// accepted only where the link is nearly idle, and never is it shut out.
TEST_F(IntakeBudgetTest, refusalOf_largeBodyOverShare_acceptedByIdleLinkOnly)
{
    playHotSecond();
    queueUp(6);

    EXPECT_EQ(ask("hot", 70'000), RefusalReason::Share);
    EXPECT_EQ(ask("hot", 40'000), std::nullopt);
    now += 200 * kMillisecond;
    EXPECT_EQ(ask("hot", 70'000), std::nullopt);
}

// Guards against refusing the only organisation of a gateway for its share, of which nobody else would profit.
TEST_F(IntakeBudgetTest, refusalOf_organisationAlone_isNotRefusedForItsShare)
{
    for (int n = 0; n < 7; ++n) {
        ask("hot", 70'000);
        use(0.8, 140);
    }
    now += 20 * kMillisecond;
    queueUp(59);

    EXPECT_EQ(ask("hot", 500), std::nullopt);
}

// Guards against refusing an organisation for its share while the link is mostly idle and a burst makes a queue.
TEST_F(IntakeBudgetTest, refusalOf_linkMostlyIdle_refusesNobodyForItsShare)
{
    ask("small", 500);
    ask("hot", 70'000);
    now += 120 * kMillisecond;
    queueUp(50);

    EXPECT_EQ(ask("hot", 500), std::nullopt);
}

// Guards against an organisation whose share is taken by one that has left.
TEST_F(IntakeBudgetTest, refusalOf_otherOrganisationGoneForASecond_isAloneAgain)
{
    playHotSecond();
    use(0.8, 1'100);
    queueUp(50);

    EXPECT_EQ(ask("hot", 500), std::nullopt);
}

// Guards against callers that shut out others by a declared length that never comes: it counts with at most 60 ms, and
// drains like the rest.
TEST_F(IntakeBudgetTest, refusalOf_hugeDeclaredLength_countsBounded)
{
    EXPECT_EQ(ask("liar", 8'000'000'000), std::nullopt);
    EXPECT_EQ(budget.queue(now), 60 * kMillisecond);
    now += kMillisecond;
    EXPECT_EQ(ask("a", 500), std::nullopt);
    now += 59 * kMillisecond;
    EXPECT_LT(budget.queue(now), kMillisecond);
}

// Guards against malformed lengths that would take bytes of others out of the queue.
TEST_F(IntakeBudgetTest, refusalOf_negativeLength_countsNothing)
{
    queueUp(20);
    EXPECT_EQ(ask("a", -70'000), std::nullopt);

    EXPECT_EQ(budget.queue(now), 20 * kMillisecond);
}

// Guards against bytes that stay promised by a connection that ended before they came.
TEST_F(IntakeBudgetTest, noteCutOff_connectionEndedEarly_releasesWhatIsLeft)
{
    ask("a", 50'000);
    now += 10 * kMillisecond;
    ASSERT_EQ(budget.queue(now), 30 * kMillisecond);

    budget.noteCutOff(50'000, 10 * kMillisecond, now);

    EXPECT_EQ(budget.queue(now), Duration::zero());
}

// Guards against a connection that ends long after its bytes have drained and takes those of others out of the queue.
TEST_F(IntakeBudgetTest, noteCutOff_longAfterAcceptance_leavesBytesOfOthers)
{
    ask("liar", 50'000);
    now += 5'000 * kMillisecond;
    ask("a", 50'000);

    budget.noteCutOff(50'000, 5'000 * kMillisecond, now);

    EXPECT_EQ(budget.queue(now), 40 * kMillisecond);
}

// Guards against counting the body of a request twice, when it is accepted and when it is read.
TEST_F(IntakeBudgetTest, queue_declaredBodyRead_isNotCountedAgain)
{
    ask("a", 50'000);
    now += 20 * kMillisecond;
    traffic.noteDeclaredIn(50'000);

    EXPECT_EQ(budget.queue(now), 20 * kMillisecond);
    traffic.noteOut(50'000);
    EXPECT_EQ(budget.queue(now), 60 * kMillisecond);
}

// Guards against a process that was asked nothing for long and takes the bytes of that time for a queue.
TEST_F(IntakeBudgetTest, queue_bytesOfALongTime_haveDrained)
{
    budget.queue(now);
    traffic.noteOut(1'000'000);
    now += 10'000 * kMillisecond;

    EXPECT_LT(budget.queue(now), 10 * kMillisecond);
}

// Guards against callers that are refused together and come back together, to be refused again.
TEST_F(IntakeBudgetTest, retryAfter_manyRefused_isSpreadAndNotBelowTwentyMilliseconds)
{
    std::set<Duration> waits;
    for (int n = 0; n < 200; ++n) {
        waits.insert(budget.retryAfter(now));
    }
    EXPECT_GE(*waits.begin(), 20 * kMillisecond);
    EXPECT_LE(*waits.rbegin(), 60 * kMillisecond);
    EXPECT_GT(waits.size(), 190U);
    EXPECT_LT(*waits.begin(), 22 * kMillisecond);
    EXPECT_GT(*waits.rbegin(), 57 * kMillisecond);

    queueUp(130);
    EXPECT_GE(budget.retryAfter(now), 100 * kMillisecond);
    EXPECT_LE(budget.retryAfter(now), 300 * kMillisecond);
}

// Guards against a link use that is wrong when nobody was asked about requests for a while.
TEST_F(IntakeBudgetTest, linkUse_bytesCounted_isRelativeToTheBandwidth)
{
    EXPECT_EQ(budget.linkUse(now), 0);
    use(0.5, 1'000);
    EXPECT_NEAR(budget.linkUse(now), 0.5, 0.05);
    traffic.noteIn(2'500'000);
    EXPECT_NEAR(budget.linkUse(now), 2, 0.05);
    now += std::chrono::seconds(4);
    EXPECT_EQ(budget.linkUse(now), 0);
    traffic.noteIn(2'500'000);
    EXPECT_NEAR(budget.linkUse(now + std::chrono::seconds(4)), 0.5, 0.05);
}

// Guards against wide links that never report how full they are, since nobody asks there about requests.
TEST_F(IntakeBudgetTest, linkUse_partThatRefusesNothing_isMeasured)
{
    IntakeBudget wide({200, false}, traffic, random);
    EXPECT_EQ(wide.linkUse(now), 0);
    traffic.noteOut(12'500'000);
    EXPECT_NEAR(wide.linkUse(now + std::chrono::seconds(1)), 0.5, 0.05);
}

// Guards against a refusal of the first request after a quiet time in which streams used half of the link.
TEST_F(IntakeBudgetTest, refusalOf_firstRequestAfterSeconds_seesNoQueueOfBytesLongPassed)
{
    EXPECT_EQ(ask("a", 500), std::nullopt);
    traffic.noteIn(5'000 * kPerMillisecond / 2);
    now += std::chrono::seconds(5);
    EXPECT_EQ(ask("a", 500), std::nullopt);
    EXPECT_LT(budget.queue(now), 10 * kMillisecond);
}

// Guards against refusals of a part that is switched off, or that knows no bandwidth.
TEST_F(IntakeBudgetTest, refusalOf_switchedOffOrBandwidthUnknown_acceptsAll)
{
    for (const IntakeBudgetSettings &settings : {IntakeBudgetSettings{10, false}, IntakeBudgetSettings{0, true}}) {
        IntakeBudget other(settings, traffic, random);
        traffic.noteOut(10'000'000);
        for (int n = 0; n < 100; ++n) {
            ASSERT_EQ(other.refusalOf({OrganisationId("a"), 70'000}, now), std::nullopt);
        }
        EXPECT_EQ(other.retryAfter(now), 20 * kMillisecond);
    }
    EXPECT_EQ(IntakeBudget(IntakeBudgetSettings{0, true}, traffic, random).linkUse(now), 0);
}

// Guards against memory that grows with names of organisations; those beyond the bound are served as one.
TEST_F(IntakeBudgetTest, refusalOf_manyOrganisations_allAreServed)
{
    for (int n = 0; n < 5'000; ++n) {
        now += std::chrono::microseconds(100);
        ASSERT_EQ(ask("o" + std::to_string(n), 10), std::nullopt);
    }
}
