#include "budgetfixture.h"
#include "budgets/createbudgetchange.h"
#include "budgets/shardwriter.h"
#include "budgets/topupchange.h"

using namespace RadishSwitch;

/// A writer that caches its shard between rounds, beside another writer of the same shard.
class CachedShardTest : public BudgetFixture
{
protected:
    static LedgerSettings keeping(LedgerSettings settings)
    {
        settings.cachesShards = true;
        return settings;
    }

    void submit(ShardWriter &writer, std::shared_ptr<LedgerChange> change)
    {
        writer.submit(std::move(change), Urgency::Urgent, [this](const absl::Status &status) {
            lastStatus = status;
        });
        run(Seconds(1));
    }

    std::shared_ptr<LedgerChange> topUpOf(const std::string &payment, std::int64_t tokens)
    {
        return std::make_shared<TopUpChange>(kBudget, PaymentId(payment), tokens, "operator", 0);
    }

    void create(ShardWriter &writer)
    {
        submit(writer, std::make_shared<CreateBudgetChange>(kBudget, "operator", 0));
    }

    std::int64_t paid() const
    {
        return LedgerShard::fromJson(store.objects().at("ledger/0000").value)->find(kBudget)->paid();
    }

    StoreLink link{store, tasks, timers};
    StoreLink otherLink{store, tasks, timers};
    StoreCallLimiter calls{timers, 100, 100};
    ShardWriter writer{0, LedgerPorts{link, timers, random, calls}, keeping(ledgerSettings), [](bool) {}};
    ShardWriter other{0, LedgerPorts{otherLink, timers, random, calls}, ledgerSettings, [](bool) {}};
    absl::Status lastStatus;
};

TEST_F(CachedShardTest, secondRound_onlyWriterOfShard_costsOneCall)
{
    create(writer);
    const int before = link.calls();
    submit(writer, topUpOf("p1", 100));
    EXPECT_EQ(link.calls() - before, 1);
    EXPECT_EQ(paid(), 100);
}

// Another process books a payment while this writer has an older version of the shard cached. If the cached shard were
// written unconditionally, that payment would be lost.
TEST_F(CachedShardTest, writeByAnotherProcess_cachedShardOutdated_isKept)
{
    create(writer);
    submit(other, topUpOf("p1", 100));
    submit(writer, topUpOf("p2", 50));
    EXPECT_TRUE(lastStatus.ok());
    EXPECT_EQ(paid(), 150);
}

// The budget is missing in the cached shard, but another process has created it since. A failure that follows only from
// the cached shard must not be reported.
TEST_F(CachedShardTest, failure_onlyInCachedShard_isVerifiedByReading)
{
    submit(writer, std::make_shared<CreateBudgetChange>(BudgetId{OrganisationId("o"), "b"}, "operator", 0));
    create(other);
    submit(writer, topUpOf("p1", 100));
    EXPECT_TRUE(lastStatus.ok()) << lastStatus;
    EXPECT_EQ(paid(), 100);
}

TEST_F(CachedShardTest, lostAnswer_nextRound_readsBeforeWriting)
{
    create(writer);
    link.loseAnswersOfNextWrites(1);
    submit(writer, topUpOf("p1", 100));
    submit(writer, topUpOf("p2", 1));
    EXPECT_EQ(paid(), 101);
}
