#include "base/failure.h"
#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "requests/claimstore.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

using namespace RadishSwitch;

namespace
{

constexpr std::uint32_t kShard = 3;

Claim claimOf(const std::string &request, const std::string &attempt)
{
    return {RequestId(request), "body", AttemptId(attempt)};
}

}

class ClaimStoreTest : public testing::Test
{
protected:
    absl::StatusOr<Claim> claim(ClaimStore &claims, const Claim &claim)
    {
        std::optional<absl::StatusOr<Claim>> answer;
        claims.claim(kShard, claim, [&](const auto &current) {
            answer = current;
        });
        m_tasks.runAll();
        return *answer;
    }

    std::optional<Claim> find(ClaimStore &claims, const std::string &request)
    {
        std::optional<Claim> answer;
        claims.find(kShard, RequestId(request), [&](const auto &found) {
            answer = *found;
        });
        m_tasks.runAll();
        return answer;
    }

    void settleDown()
    {
        for (int n = 0; n < 100; ++n) {
            m_timers.advance(std::chrono::seconds(1));
            m_tasks.runAll();
        }
    }

    ClaimStoreSettings m_settings;
    ManualTaskQueue m_tasks;
    VirtualTimerService m_timers;
    SeededRandom m_random;
    MemoryObjectStore m_store{m_tasks};
    ClaimStore m_first{m_store, m_timers, m_random, m_settings};
    ClaimStore m_second{m_store, m_timers, m_random, m_settings};
};

TEST_F(ClaimStoreTest, claim_unclaimed_isWrittenToStore)
{
    const auto current = claim(m_first, claimOf("order-1", "a"));

    ASSERT_TRUE(current.ok());
    EXPECT_EQ(current->attempt, AttemptId("a"));
    EXPECT_EQ(find(m_second, "order-1")->state, ClaimState::Claimed);
}

// Two homes that both believe that they own a shard claim the same non-idempotent request. The store accepts one write;
// the other home reads the object again and finds the claim of the first.
TEST_F(ClaimStoreTest, claim_twoHomesAtOnce_oneWins)
{
    std::vector<AttemptId> current;
    m_first.claim(kShard, claimOf("order-1", "a"), [&](const auto &claim) {
        current.push_back(claim->attempt);
    });
    m_second.claim(kShard, claimOf("order-1", "b"), [&](const auto &claim) {
        current.push_back(claim->attempt);
    });
    m_tasks.runAll();

    ASSERT_EQ(current.size(), 2u);
    EXPECT_EQ(current[0], current[1]);
}

// The write of a claim takes effect, but its answer is lost. The home reads the object again and recognises its own
// claim by the attempt. Otherwise it would refuse the request as a duplicate of itself.
TEST_F(ClaimStoreTest, claim_answerLost_recognisesOwnClaim)
{
    m_store.loseAnswersOfNextWrites(1);

    const auto current = claim(m_first, claimOf("order-1", "a"));

    ASSERT_TRUE(current.ok());
    EXPECT_EQ(current->attempt, AttemptId("a"));
    EXPECT_EQ(m_store.writes(), 1);
}

// The answer to the write of a claim is lost, and the store becomes unavailable before the object can be read again.
// The caller is refused at once. When the store is available again the claim is undone, since otherwise every retry
// would be refused.
TEST_F(ClaimStoreTest, claim_answerLostThenStoreUnavailable_isUndoneLater)
{
    m_store.loseAnswersOfNextWrites(1);
    std::optional<absl::StatusOr<Claim>> answer;
    m_first.claim(kShard, claimOf("order-1", "a"), [&](const auto &current) {
        answer = current;
    });
    while (m_store.writes() == 0) {
        ASSERT_TRUE(m_tasks.runOne());
    }
    m_store.setUnavailable(true);
    m_tasks.runAll();

    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(failureCode(answer->status()), FailureCode::StoreUnavailable);
    m_store.setUnavailable(false);
    settleDown();
    EXPECT_EQ(find(m_second, "order-1")->state, ClaimState::NotRun);
    EXPECT_EQ(claim(m_second, claimOf("order-1", "b"))->attempt, AttemptId("b"));
}

TEST_F(ClaimStoreTest, claim_storeUnavailable_failsAtOnce)
{
    m_store.setUnavailable(true);

    const auto current = claim(m_first, claimOf("order-1", "a"));

    EXPECT_EQ(failureCode(current.status()), FailureCode::StoreUnavailable);
    EXPECT_FALSE(m_first.hasUnwrittenUpdates());
}

TEST_F(ClaimStoreTest, claim_manyTogether_shareWrites)
{
    constexpr int kClaims = 100;
    int claimed = 0;
    for (int n = 0; n < kClaims; ++n) {
        const std::string name = std::to_string(n);
        m_first.claim(kShard, claimOf("order-" + name, name), [&](const auto &current) {
            claimed += current.ok();
        });
    }
    m_tasks.runAll();

    EXPECT_EQ(claimed, kClaims);
    EXPECT_EQ(m_store.writes(), 2);
}

TEST_F(ClaimStoreTest, setState_storeUnavailableForAnHour_isWrittenAfterwards)
{
    ASSERT_TRUE(claim(m_first, claimOf("order-1", "a")).ok());
    m_store.setUnavailable(true);
    m_first.setState(kShard, RequestId("order-1"), AttemptId("a"), ClaimState::Done);
    m_timers.advance(std::chrono::hours(1));
    m_tasks.runAll();
    EXPECT_TRUE(m_first.hasUnwrittenUpdates());

    m_store.setUnavailable(false);
    settleDown();

    EXPECT_FALSE(m_first.hasUnwrittenUpdates());
    EXPECT_EQ(find(m_second, "order-1")->state, ClaimState::Done);
}

// A state update for an earlier attempt arrives after the request was claimed again. It must not undo the later claim.
TEST_F(ClaimStoreTest, setState_ofEarlierAttempt_leavesLaterClaim)
{
    ASSERT_TRUE(claim(m_first, claimOf("order-1", "a")).ok());
    m_first.setState(kShard, RequestId("order-1"), AttemptId("a"), ClaimState::NotRun);
    settleDown();
    ASSERT_EQ(claim(m_second, claimOf("order-1", "b"))->attempt, AttemptId("b"));

    m_second.setState(kShard, RequestId("order-1"), AttemptId("a"), ClaimState::NotRun);
    settleDown();

    EXPECT_EQ(find(m_second, "order-1")->state, ClaimState::Claimed);
}

TEST_F(ClaimStoreTest, claim_shardFull_isRefusedUntilClaimsExpire)
{
    m_settings.maximum = 2;
    ClaimStore claims(m_store, m_timers, m_random, m_settings);
    ASSERT_TRUE(claim(claims, claimOf("order-1", "a")).ok());
    ASSERT_TRUE(claim(claims, claimOf("order-2", "b")).ok());
    EXPECT_EQ(failureCode(claim(claims, claimOf("order-3", "c")).status()), FailureCode::Overloaded);

    m_timers.advance(m_settings.expiry + std::chrono::seconds(1));

    EXPECT_TRUE(claim(claims, claimOf("order-3", "c")).ok());
}

TEST_F(ClaimStoreTest, decodeClaims_malformedText_isObjectMalformed)
{
    for (const std::string text : {"", "{", "[1]", "[{\"request\": 5}]", "\xff"}) {
        EXPECT_EQ(failureCode(decodeClaims(text).status()), FailureCode::ObjectMalformed) << text;
    }
}

TEST_F(ClaimStoreTest, encodeClaims_requestOfArbitraryBytes_decodesToSame)
{
    Claim claim = claimOf(std::string("key \xff\x00\"\\", 8), "a");
    claim.fingerprint = std::string("\x00\xfe", 2);
    claim.state = ClaimState::Done;
    claim.wallTime = 1700000000000;

    EXPECT_EQ(decodeClaims(encodeClaims({claim})).value(), std::vector<Claim>{claim});
}
