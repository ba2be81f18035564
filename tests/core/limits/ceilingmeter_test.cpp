#include "base/failure.h"
#include "limits/ceilingmeter.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <vector>

using namespace RadishSwitch;
using namespace std::chrono_literals;

class CeilingMeterTest : public testing::Test
{
protected:
    bool isAdmitted(std::int64_t tokens = 1)
    {
        return m_meter.admit(m_shop, tokens, m_timers.now()).ok();
    }

    int admitAll()
    {
        int n = 0;
        while (isAdmitted()) {
            ++n;
        }
        return n;
    }

    const OrganisationId m_shop{"curtain-shop"};
    VirtualTimerService m_timers;
    CeilingMeter m_meter;
};

TEST_F(CeilingMeterTest, admit_organisationWithoutCeilings_isAdmitted)
{
    EXPECT_TRUE(isAdmitted(1000000));
}

TEST_F(CeilingMeterTest, admit_requestsReached_refusesWithExactRetryAfter)
{
    m_meter.setCeilings(m_shop, {.requestsPerSecond = 4}, m_timers.now());
    EXPECT_EQ(admitAll(), 4);

    const absl::Status status = m_meter.admit(m_shop, 1, m_timers.now());
    EXPECT_EQ(failureCode(status), FailureCode::CeilingReached);
    ASSERT_EQ(retryAfterOf(status), 250ms);
    m_timers.advance(249ms);
    EXPECT_FALSE(isAdmitted());
    m_timers.advance(1ms);
    EXPECT_TRUE(isAdmitted());
}

TEST_F(CeilingMeterTest, admit_tokensReached_countsActualUseAfterEnd)
{
    m_meter.setCeilings(m_shop, {.tokensPerSecond = 1000}, m_timers.now());
    EXPECT_TRUE(isAdmitted(1000));
    EXPECT_EQ(retryAfterOf(m_meter.admit(m_shop, 500, m_timers.now())), 500ms);

    m_meter.noteFinished(m_shop, 1000, 400, 1s, m_timers.now());
    EXPECT_TRUE(isAdmitted(600));
    EXPECT_FALSE(isAdmitted(100));
}

// Guards against a request larger than one second's worth of tokens that never fits the bucket: it would be refused for
// ever, each time with the promise that it fits later.
TEST_F(CeilingMeterTest, admit_requestLargerThanBurst_isAdmittedAndDelaysLaterOnes)
{
    m_meter.setCeilings(m_shop, {.tokensPerSecond = 100}, m_timers.now());
    EXPECT_TRUE(isAdmitted(1000));
    EXPECT_EQ(retryAfterOf(m_meter.admit(m_shop, 100, m_timers.now())), 10000ms);
}

TEST_F(CeilingMeterTest, admit_concurrentReached_admitsWhenOneEnds)
{
    m_meter.setCeilings(m_shop, {.concurrentRequests = 2}, m_timers.now());
    EXPECT_EQ(admitAll(), 2);

    const absl::Status status = m_meter.admit(m_shop, 1, m_timers.now());
    EXPECT_EQ(failureCode(status), FailureCode::CeilingReached);
    EXPECT_TRUE(retryAfterOf(status).has_value());
    m_meter.noteFinished(m_shop, 1, 1, 1s, m_timers.now());
    EXPECT_EQ(admitAll(), 1);
}

TEST_F(CeilingMeterTest, setCeilings_changed_grantsNoNewBurst)
{
    m_meter.setCeilings(m_shop, {.requestsPerSecond = 10}, m_timers.now());
    EXPECT_EQ(admitAll(), 10);

    m_meter.setCeilings(m_shop, {.requestsPerSecond = 12}, m_timers.now());
    EXPECT_EQ(admitAll(), 0);
    m_timers.advance(1s);
    EXPECT_EQ(admitAll(), 12);
}

// Guards against a fleet that admits more than the ceiling, although each process knows only its share. An organisation
// sends ten times its ceiling to all entries for a minute, while two of five entries join and leave again and again. In
// any span the fleet may admit at most the ceiling, the stated burst, and the bursts of the entries that joined.
TEST_F(CeilingMeterTest, admit_manyProcessesAndGreedyOrganisation_staysWithinCeilingTogether)
{
    constexpr double kCeiling = 20;
    constexpr Duration kPhase = 10s;
    constexpr double kBurst = kCeiling + 5;
    constexpr double kBurstOfJoiners = 2 * (kCeiling / 5 + 1);
    std::array<CeilingMeter, 5> meters;
    SeededRandom random;
    std::vector<Instant> admitted;
    for (int phase = 0; phase < 6; ++phase) {
        const std::size_t n = phase % 2 == 0 ? 3 : 5;
        for (std::size_t i = 0; i < n; ++i) {
            if (i >= 3 || phase == 0) {
                meters[i] = CeilingMeter();
            }
            meters[i].setShare(1.0 / static_cast<double>(n), m_timers.now());
            meters[i].setCeilings(m_shop, {.requestsPerSecond = kCeiling}, m_timers.now());
        }
        for (int i = 0; i < 2000; ++i) {
            m_timers.advance(kPhase / 2000);
            if (meters[random.below(n)].admit(m_shop, 1, m_timers.now()).ok()) {
                admitted.push_back(m_timers.now());
            }
        }
    }

    for (std::size_t from = 0; from < admitted.size(); ++from) {
        for (std::size_t to = from; to < admitted.size(); to += 7) {
            const double span = static_cast<double>((admitted[to] - admitted[from]).count()) * 1e-6;
            const double joins = std::ceil(span / 10 / 2) * kBurstOfJoiners;
            ASSERT_LE(static_cast<double>(to - from + 1), kCeiling * span + kBurst + joins);
        }
    }
    EXPECT_GT(static_cast<double>(admitted.size()), 0.9 * kCeiling * 60);
}
