#include "base/failure.h"
#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "requests/claimbook.h"
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

class ClaimBookTest : public testing::Test
{
protected:
    absl::StatusOr<Claim> claim(ClaimBook &book, const Claim &claim)
    {
        std::optional<absl::StatusOr<Claim>> answer;
        book.claim(kShard, claim, [&](const auto &standing) {
            answer = standing;
        });
        m_tasks.runAll();
        return *answer;
    }

    std::optional<Claim> find(ClaimBook &book, const std::string &request)
    {
        std::optional<Claim> answer;
        book.find(kShard, RequestId(request), [&](const auto &found) {
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

    ClaimBookSettings m_settings;
    ManualTaskQueue m_tasks;
    VirtualTimerService m_timers;
    SeededRandom m_random;
    MemoryObjectStore m_store{m_tasks};
    ClaimBook m_first{m_store, m_timers, m_random, m_settings};
    ClaimBook m_second{m_store, m_timers, m_random, m_settings};
};

TEST_F(ClaimBookTest, claim_unclaimed_standsInStore)
{
    const auto standing = claim(m_first, claimOf("order-1", "a"));

    ASSERT_TRUE(standing.ok());
    EXPECT_EQ(standing->attempt, AttemptId("a"));
    EXPECT_EQ(find(m_second, "order-1")->state, ClaimState::Claimed);
}

// Two homes that both believe to own a shard claim the same blind order. The store lets one write through; the other
// reads the object again and finds that the order is taken.
TEST_F(ClaimBookTest, claim_twoHomesAtOnce_oneStands)
{
    std::vector<AttemptId> standing;
    m_first.claim(kShard, claimOf("order-1", "a"), [&](const auto &claim) {
        standing.push_back(claim->attempt);
    });
    m_second.claim(kShard, claimOf("order-1", "b"), [&](const auto &claim) {
        standing.push_back(claim->attempt);
    });
    m_tasks.runAll();

    ASSERT_EQ(standing.size(), 2u);
    EXPECT_EQ(standing[0], standing[1]);
}

// The write of a claim has its effect, but its answer is lost. Reading the object back shows the claim with the
// claimer's own attempt, so the order runs instead of being refused as a duplicate of itself.
TEST_F(ClaimBookTest, claim_answerLost_readsBackAndFindsItsOwn)
{
    m_store.loseAnswersOfNextWrites(1);

    const auto standing = claim(m_first, claimOf("order-1", "a"));

    ASSERT_TRUE(standing.ok());
    EXPECT_EQ(standing->attempt, AttemptId("a"));
    EXPECT_EQ(m_store.writes(), 1);
}

// The answer of a claim's write is lost and the store goes away before it can be read back. The caller is refused at
// once; when the store is back the claim is undone, so that its retry is not refused for ever.
TEST_F(ClaimBookTest, claim_answerLostThenStoreAway_isUndoneLater)
{
    m_store.loseAnswersOfNextWrites(1);
    std::optional<absl::StatusOr<Claim>> answer;
    m_first.claim(kShard, claimOf("order-1", "a"), [&](const auto &standing) {
        answer = standing;
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

TEST_F(ClaimBookTest, claim_storeAway_failsAtOnce)
{
    m_store.setUnavailable(true);

    const auto standing = claim(m_first, claimOf("order-1", "a"));

    EXPECT_EQ(failureCode(standing.status()), FailureCode::StoreUnavailable);
    EXPECT_FALSE(m_first.hasUnwrittenNotes());
}

TEST_F(ClaimBookTest, claims_manyTogether_shareWrites)
{
    constexpr int kClaims = 100;
    int claimed = 0;
    for (int n = 0; n < kClaims; ++n) {
        const std::string name = std::to_string(n);
        m_first.claim(kShard, claimOf("order-" + name, name), [&](const auto &standing) {
            claimed += standing.ok();
        });
    }
    m_tasks.runAll();

    EXPECT_EQ(claimed, kClaims);
    EXPECT_EQ(m_store.writes(), 2);
}

TEST_F(ClaimBookTest, note_storeAwayForAnHour_isWrittenAfterwards)
{
    ASSERT_TRUE(claim(m_first, claimOf("order-1", "a")).ok());
    m_store.setUnavailable(true);
    m_first.note(kShard, RequestId("order-1"), AttemptId("a"), ClaimState::Done);
    m_timers.advance(std::chrono::hours(1));
    m_tasks.runAll();
    EXPECT_TRUE(m_first.hasUnwrittenNotes());

    m_store.setUnavailable(false);
    settleDown();

    EXPECT_FALSE(m_first.hasUnwrittenNotes());
    EXPECT_EQ(find(m_second, "order-1")->state, ClaimState::Done);
}

// A note on an earlier attempt comes late, after the request was claimed again: it must not free the later claim.
TEST_F(ClaimBookTest, note_ofEarlierAttempt_leavesLaterClaim)
{
    ASSERT_TRUE(claim(m_first, claimOf("order-1", "a")).ok());
    m_first.note(kShard, RequestId("order-1"), AttemptId("a"), ClaimState::NotRun);
    settleDown();
    ASSERT_EQ(claim(m_second, claimOf("order-1", "b"))->attempt, AttemptId("b"));

    m_second.note(kShard, RequestId("order-1"), AttemptId("a"), ClaimState::NotRun);
    settleDown();

    EXPECT_EQ(find(m_second, "order-1")->state, ClaimState::Claimed);
}

TEST_F(ClaimBookTest, claim_objectFull_isRefusedAndExpiryMakesRoom)
{
    m_settings.maximum = 2;
    ClaimBook book(m_store, m_timers, m_random, m_settings);
    ASSERT_TRUE(claim(book, claimOf("order-1", "a")).ok());
    ASSERT_TRUE(claim(book, claimOf("order-2", "b")).ok());
    EXPECT_EQ(failureCode(claim(book, claimOf("order-3", "c")).status()), FailureCode::Overloaded);

    m_timers.advance(m_settings.expiry + std::chrono::seconds(1));

    EXPECT_TRUE(claim(book, claimOf("order-3", "c")).ok());
}

TEST_F(ClaimBookTest, object_hostileText_isTypedErrorAndNothingIsClaimed)
{
    for (const std::string text : {"", "{", "[1]", "[{\"request\": 5}]", "\xff"}) {
        EXPECT_EQ(failureCode(decodeClaims(text).status()), FailureCode::ObjectMalformed) << text;
    }
}

TEST_F(ClaimBookTest, encodedClaim_requestOfAnyBytes_comesBackTheSame)
{
    Claim claim = claimOf(std::string("key \xff\x00\"\\", 8), "a");
    claim.fingerprint = std::string("\x00\xfe", 2);
    claim.state = ClaimState::Done;
    claim.wallTime = 1700000000000;

    EXPECT_EQ(decodeClaims(encodeClaims({claim})).value(), std::vector<Claim>{claim});
}
