#include "budgets/ledgershard.h"

#include "base/failure.h"
#include "budgets/topupchange.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace RadishSwitch;

namespace
{

const BudgetId kBudget{OrganisationId("tourbillon"), "scripts"};

PortionRequest request(const std::string &portion, std::uint64_t sequence, std::int64_t needed, std::int64_t desired)
{
    PortionRequest request;
    request.portion = PortionId(portion);
    request.holder = IncarnationId("holder");
    request.region = "south";
    request.sequence = sequence;
    request.smallestUseful = 1;
    request.needed = needed;
    request.desired = desired;
    request.shareOfFree = 0.5;
    return request;
}

}

class LedgerShardTest : public ::testing::Test
{
protected:
    LedgerShardTest()
    {
        EXPECT_TRUE(shard.create(kBudget).ok());
    }

    absl::Status topUp(const std::string &payment, std::int64_t tokens)
    {
        return TopUpChange(kBudget, PaymentId(payment), tokens, "operator", 1).apply(shard);
    }

    absl::Status change(const std::function<absl::Status(BudgetRecord &)> &change)
    {
        return shard.change(kBudget, change);
    }

    std::int64_t take(const PortionRequest &request)
    {
        std::int64_t granted = -1;
        EXPECT_TRUE(change([&](BudgetRecord &it) {
                        const absl::StatusOr<PortionRecord> portion = it.takePortion(request);
                        granted = portion.ok() ? portion->granted : -1;
                        return portion.status();
                    }).ok());
        return granted;
    }

    const BudgetRecord &record() const
    {
        return *shard.find(kBudget);
    }

    LedgerShard shard;
};

TEST_F(LedgerShardTest, topUp_samePaymentTwice_countsOnce)
{
    ASSERT_TRUE(topUp("p1", 100).ok());
    ASSERT_TRUE(topUp("p1", 100).ok());

    EXPECT_EQ(record().paid(), 100);
    EXPECT_EQ(std::count_if(shard.audit().begin(), shard.audit().end(),
                            [](const auto &it) {
                                return it.action == "top-up";
                            }),
              1);
}

TEST_F(LedgerShardTest, topUp_samePaymentOtherAmount_isTypedErrorAndChangesNothing)
{
    ASSERT_TRUE(topUp("p1", 100).ok());

    EXPECT_EQ(failureCode(topUp("p1", 101)), FailureCode::KeyReusedForOtherBody);
    EXPECT_EQ(record().paid(), 100);
}

TEST_F(LedgerShardTest, topUp_badInput_isTypedError)
{
    for (const std::int64_t tokens : {std::int64_t(0), std::int64_t(-5), std::int64_t(2'000'000'000'000'000)}) {
        EXPECT_EQ(failureCode(topUp("p1", tokens)), FailureCode::InvalidRequest) << tokens;
    }
    for (const std::string &payment : {std::string(), std::string("a\nb"), std::string("\xff\xfe")}) {
        EXPECT_EQ(failureCode(topUp(payment, 5)), FailureCode::InvalidRequest) << payment;
    }
    EXPECT_EQ(failureCode(shard.create({OrganisationId("a/b"), "c"}).status()), FailureCode::InvalidRequest);
    EXPECT_EQ(failureCode(shard.create({OrganisationId("a"), "\xc3"}).status()), FailureCode::InvalidRequest);
}

TEST_F(LedgerShardTest, takePortion_moreRequestedThanFree_grantsOnlyTheShare)
{
    ASSERT_TRUE(topUp("p1", 100).ok());

    EXPECT_EQ(take(request("a", 1, 10, 1000)), 50);
    EXPECT_EQ(take(request("b", 1, 10, 1000)), 25);
    EXPECT_EQ(record().free(), 25);
}

TEST_F(LedgerShardTest, takePortion_appliedAgainAfterLostAnswer_grantsOnce)
{
    ASSERT_TRUE(topUp("p1", 100).ok());

    EXPECT_EQ(take(request("a", 1, 10, 10)), 10);
    EXPECT_EQ(take(request("a", 1, 10, 10)), 10);
    EXPECT_EQ(take(request("a", 2, 10, 10)), 20);
    EXPECT_EQ(take(request("a", 2, 10, 10)), 20);
    EXPECT_EQ(record().granted(), 20);
}

TEST_F(LedgerShardTest, takePortion_nothingUsefulFree_marksBudgetAsWantedUntilToppedUp)
{
    ASSERT_TRUE(topUp("p1", 10).ok());
    PortionRequest large = request("a", 1, 50, 50);
    large.smallestUseful = 50;

    EXPECT_EQ(take(large), 0);
    ASSERT_TRUE(record().wanted());
    EXPECT_EQ(record().wanted()->tokens, 50);
    ASSERT_TRUE(topUp("p2", 100).ok());
    EXPECT_FALSE(record().wanted());
}

TEST_F(LedgerShardTest, change_wouldBreakInvariant_leavesRecordUnchanged)
{
    ASSERT_TRUE(topUp("p1", 100).ok());
    EXPECT_EQ(take(request("a", 1, 60, 60)), 60);
    const BudgetRecord before = record();

    const absl::Status status = change([](BudgetRecord &it) {
        it = BudgetRecord(100, 50, it.topUps(), it.portions(), std::nullopt);
        return absl::OkStatus();
    });

    EXPECT_EQ(failureCode(status), FailureCode::ObjectMalformed);
    EXPECT_EQ(record(), before);
}

TEST_F(LedgerShardTest, holderChanges_portionClosing_areRefused)
{
    ASSERT_TRUE(topUp("p1", 100).ok());
    EXPECT_EQ(take(request("a", 1, 60, 60)), 60);
    const PortionId a("a");
    ASSERT_TRUE(change([&](BudgetRecord &it) {
                    return it.beginClose(a);
                }).ok());

    EXPECT_EQ(failureCode(change([&](BudgetRecord &it) {
                  return it.reportSpend(a, 5);
              })),
              FailureCode::PortionClosed);
    EXPECT_EQ(failureCode(change([&](BudgetRecord &it) {
                  return it.returnPart(a, 2, 5, 10);
              })),
              FailureCode::PortionClosed);
    EXPECT_EQ(failureCode(change([&](BudgetRecord &it) {
                  return it.returnPortion(a, 5);
              })),
              FailureCode::PortionClosed);
    EXPECT_EQ(failureCode(change([&](BudgetRecord &it) {
                  return it.takePortion(request("a", 2, 1, 1)).status();
              })),
              FailureCode::PortionClosed);
}

TEST_F(LedgerShardTest, finishClose_provedLessThanReported_settlesWhatWasReported)
{
    ASSERT_TRUE(topUp("p1", 100).ok());
    EXPECT_EQ(take(request("a", 1, 60, 60)), 60);
    const PortionId a("a");
    ASSERT_TRUE(change([&](BudgetRecord &it) {
                    return it.reportSpend(a, 30);
                }).ok());
    ASSERT_TRUE(change([&](BudgetRecord &it) {
                    return it.beginClose(a);
                }).ok());

    ASSERT_TRUE(change([&](BudgetRecord &it) {
                    return it.finishClose(a, 20);
                }).ok());
    ASSERT_TRUE(change([&](BudgetRecord &it) {
                    return it.finishClose(a, 20);
                }).ok());

    EXPECT_EQ(record().settled(), 30);
    EXPECT_EQ(record().free(), 70);
}

TEST_F(LedgerShardTest, json_writtenAndRead_givesTheSameShard)
{
    ASSERT_TRUE(topUp("p \"1\" \xc3\xa9", 100).ok());
    EXPECT_EQ(take(request("a", 1, 60, 60)), 60);
    const PortionId a("a");
    ASSERT_TRUE(change([&](BudgetRecord &it) {
                    return it.beginClose(a);
                }).ok());
    ASSERT_TRUE(change([&](BudgetRecord &it) {
                    return it.withhold(a, 5, std::nullopt, "agent silent", {"10.0.0.1:70"});
                }).ok());
    EXPECT_EQ(take(request("b", 1, 400, 400)), 40);

    shard.addFence();

    const absl::StatusOr<LedgerShard> read = LedgerShard::fromJson(shard.toJson());

    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(read->budgets(), shard.budgets());
    EXPECT_EQ(read->audit(), shard.audit());
    EXPECT_EQ(read->fences(), 1u);
    EXPECT_EQ(read->toJson(), shard.toJson());
}

TEST_F(LedgerShardTest, json_damaged_isTypedError)
{
    ASSERT_TRUE(topUp("p1", 100).ok());
    EXPECT_EQ(take(request("a", 1, 60, 60)), 60);
    const std::string whole = shard.toJson();
    const auto replaced = [&](const std::string &from, const std::string &to) {
        std::string text = whole;
        return text.replace(text.find(from), from.size(), to);
    };
    const std::vector<std::string> damaged{"",
                                           "[]",
                                           "null",
                                           "{\"budgets\": 5}",
                                           whole.substr(0, whole.size() / 2),
                                           replaced("\"paid\": 100", "\"paid\": 99"),
                                           replaced("\"paid\": 100", "\"paid\": 100.0"),
                                           replaced("\"granted\": 60", "\"granted\": 101"),
                                           replaced("\"granted\": 60", "\"granted\": \"60\""),
                                           replaced("\"state\": \"open\"", "\"state\": \"ajar\""),
                                           replaced("tourbillon/scripts", "tourbillon"),
                                           replaced("\"settled\": 0", "\"settled\": -1"),
                                           std::string(100000, '[')};

    for (const std::string &text : damaged) {
        EXPECT_EQ(failureCode(LedgerShard::fromJson(text).status()), FailureCode::ObjectMalformed) << text;
    }
}

TEST_F(LedgerShardTest, audit_beyondItsBound_isFoldedIntoACount)
{
    for (std::size_t i = 0; i < LedgerShard::kMaximumAuditEntries + 5; ++i) {
        shard.addAudit({static_cast<std::int64_t>(i), "operator", "top-up", kBudget, "p", 1});
    }

    EXPECT_EQ(shard.audit().size(), LedgerShard::kMaximumAuditEntries);
    EXPECT_EQ(shard.foldedAuditEntries(), 5u);
}
