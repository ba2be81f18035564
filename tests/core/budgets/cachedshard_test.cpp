#include "budgetfixture.h"
#include "budgets/createbudgetchange.h"
#include "budgets/shardwriter.h"
#include "budgets/topupchange.h"

using namespace RadishSwitch;

/// A writer that keeps its shard between rounds, beside another that writes the same shard.
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
    StoreCallBudget calls{timers, 100, 100};
    ShardWriter writer{0, LedgerPorts{link, timers, random, calls}, keeping(ledgerSettings), [](bool) {}};
    ShardWriter other{0, LedgerPorts{otherLink, timers, random, calls}, ledgerSettings, [](bool) {}};
    absl::Status lastStatus;
};

TEST_F(CachedShardTest, secondRound_aloneOnTheShard_costsOneCall)
{
    create(writer);
    const int before = link.calls();
    submit(writer, topUpOf("p1", 100));
    EXPECT_EQ(link.calls() - before, 1);
    EXPECT_EQ(paid(), 100);
}

// Another process books a payment meanwhile. The kept shard is older than that; written as it is, it would take the
// payment away.
TEST_F(CachedShardTest, writeOfAnother_isNeitherLostNorOverlooked)
{
    create(writer);
    submit(other, topUpOf("p1", 100));
    submit(writer, topUpOf("p2", 50));
    EXPECT_TRUE(lastStatus.ok());
    EXPECT_EQ(paid(), 150);
}

// By the kept shard the budget does not exist; another has created it since. A failure that only the kept shard knows
// of must not reach anybody.
TEST_F(CachedShardTest, failureByTheKeptShard_isProvedByTheStore)
{
    submit(writer, std::make_shared<CreateBudgetChange>(BudgetId{OrganisationId("o"), "b"}, "operator", 0));
    create(other);
    submit(writer, topUpOf("p1", 100));
    EXPECT_TRUE(lastStatus.ok()) << lastStatus;
    EXPECT_EQ(paid(), 100);
}

TEST_F(CachedShardTest, lostAnswer_isReadBackBeforeAnythingIsWritten)
{
    create(writer);
    link.loseAnswersOfNextWrites(1);
    submit(writer, topUpOf("p1", 100));
    submit(writer, topUpOf("p2", 1));
    EXPECT_EQ(paid(), 101);
}
