#include "budgetfixture.h"
#include "budgets/createbudgetchange.h"
#include "budgets/topupchange.h"

namespace RadishSwitch
{

class ShardWriterTest : public BudgetFixture
{
protected:
    static BudgetId budget(int i)
    {
        return {OrganisationId("org"), std::to_string(i)};
    }

    std::shared_ptr<std::optional<absl::Status>> submit(ShardWriter &writer, std::shared_ptr<LedgerChange> change)
    {
        const auto status = std::make_shared<std::optional<absl::Status>>();
        writer.submit(std::move(change), Urgency::Urgent, [status](const absl::Status &it) {
            EXPECT_FALSE(*status) << "answered twice";
            *status = it;
        });
        return status;
    }

    std::shared_ptr<LedgerChange> create(int i)
    {
        return std::make_shared<CreateBudgetChange>(budget(i), "operator", 0);
    }

    std::shared_ptr<LedgerChange> topUp(int i, const std::string &payment, std::int64_t tokens)
    {
        return std::make_shared<TopUpChange>(budget(i), PaymentId(payment), tokens, "operator", 0);
    }

    LedgerShard stored() const
    {
        return LedgerShard::fromJson(store.objects().at("ledger/0000").value).value();
    }

    StoreLink link{store, tasks, timers};
    StoreCallLimiter calls{timers, 100, 100};
    ShardWriter writer{0, LedgerPorts{link, timers, random, calls}, ledgerSettings, [](bool) {}};
};

TEST_F(ShardWriterTest, submit_manyChanges_goIntoOneWrite)
{
    for (int i = 0; i < 20; ++i) {
        submit(writer, create(i));
    }
    run(Seconds(1));

    EXPECT_EQ(store.writes(), 1);
    EXPECT_EQ(link.calls(), 2);
    EXPECT_EQ(stored().budgets().size(), 20u);
    EXPECT_TRUE(writer.isIdle());
}

TEST_F(ShardWriterTest, submit_oneChangeFails_othersAreWritten)
{
    const auto first = submit(writer, create(1));
    const auto wrong = submit(writer, topUp(7, "p", 5));
    const auto second = submit(writer, topUp(1, "p", 5));
    run(Seconds(1));

    EXPECT_TRUE(first->value().ok());
    EXPECT_EQ(failureCode(wrong->value()), FailureCode::BudgetUnknown);
    EXPECT_TRUE(second->value().ok());
    EXPECT_EQ(stored().find(budget(1))->paid(), 5);
}

// An operator's top-up reaches the store, but the answer is lost. The writer gets a timeout, reads the object again and
// finds the payment booked by its id. If the payment were booked again, the budget could spend twice what was paid.
TEST_F(ShardWriterTest, submit_answerOfWriteLost_readsBackAndCountsOnce)
{
    submit(writer, create(1));
    run(Seconds(1));
    link.loseAnswersOfNextWrites(3);
    const auto status = submit(writer, topUp(1, "p", 5));
    run(Seconds(5));

    EXPECT_TRUE(status->value().ok());
    EXPECT_EQ(stored().find(budget(1))->paid(), 5);
    EXPECT_EQ(store.writes(), 2);
}

// The write itself is lost. The writer gets the same timeout as for a lost answer and must not consider the write done:
// the payment would be missing although the operator was told that it is booked.
TEST_F(ShardWriterTest, submit_writeLostOnTheWay_readsBackAndWritesAgain)
{
    submit(writer, create(1));
    run(Seconds(1));
    link.loseNextWrites(3);
    const auto status = submit(writer, topUp(1, "p", 5));
    run(Seconds(5));

    EXPECT_TRUE(status->value().ok());
    EXPECT_EQ(stored().find(budget(1))->paid(), 5);
}

// Two processes write one shard at the same time. Both have read version 1; the second write gets a version conflict,
// reads again and adds its payment to the first. Without the version check one of the payments would be lost.
TEST_F(ShardWriterTest, submit_twoWritersAtOnce_bothAreWritten)
{
    submit(writer, create(1));
    run(Seconds(1));
    StoreLink otherLink{store, tasks, timers};
    ShardWriter other{0, LedgerPorts{otherLink, timers, random, calls}, ledgerSettings, [](bool) {}};
    const auto first = submit(writer, topUp(1, "p", 5));
    const auto second = submit(other, topUp(1, "q", 6));
    run(Seconds(5));

    EXPECT_TRUE(first->value().ok() && second->value().ok());
    EXPECT_EQ(stored().find(budget(1))->paid(), 11);
}

// The store is unavailable for an hour. The writer must not abandon the change, must call no more often than its
// backoff allows, and must report that the store is unavailable, so that requests are refused at once.
TEST_F(ShardWriterTest, submit_storeUnavailableForAnHour_callsRarelyAndWritesAfterwards)
{
    link.setCut(true);
    const auto status = submit(writer, create(1));
    run(Seconds(3600), Milliseconds(50));
    EXPECT_FALSE(*status);
    EXPECT_TRUE(writer.isStoreUnavailable());
    EXPECT_LT(link.calls(), 800);

    link.setCut(false);
    link.setDelay(Milliseconds(900));
    run(Seconds(15));

    EXPECT_TRUE(status->value().ok());
    EXPECT_FALSE(writer.isStoreUnavailable());
}

TEST_F(ShardWriterTest, submit_objectWouldBeTooLarge_failsThatChangeOnly)
{
    LedgerSettings small = ledgerSettings;
    small.objectLimit = 600;
    ShardWriter writer{0, LedgerPorts{link, timers, random, calls}, small, [](bool) {}};
    const auto fits = submit(writer, create(1));
    const auto tooLarge = submit(writer, std::make_shared<CreateBudgetChange>(budget(2), std::string(700, 'x'), 0));
    const auto alsoFits = submit(writer, create(3));
    run(Seconds(2));

    EXPECT_TRUE(fits->value().ok());
    EXPECT_EQ(failureCode(tooLarge->value()), FailureCode::ObjectTooLarge);
    EXPECT_TRUE(alsoFits->value().ok());
}

TEST_F(ShardWriterTest, submit_objectDamaged_isTypedErrorAndNothingIsWritten)
{
    store.put("ledger/0000", "{\"budgets\": ", 0, [](const auto &) {});
    const auto status = submit(writer, create(1));
    run(Seconds(1));

    EXPECT_EQ(failureCode(status->value()), FailureCode::ObjectMalformed);
    EXPECT_EQ(store.objects().at("ledger/0000").value, "{\"budgets\": ");
}

TEST_F(ShardWriterTest, storeCallLimiter_moreRequestedThanAllowed_spreadsCalls)
{
    StoreCallLimiter budget(timers, 10, 5);
    int n = 0;
    for (int i = 0; i < 100; ++i) {
        budget.acquire([&] {
            ++n;
        });
    }
    EXPECT_EQ(n, 5);
    run(Seconds(1));
    EXPECT_GE(n, 14);
    EXPECT_LE(n, 15);
    run(Seconds(10));
    EXPECT_EQ(n, 100);
}

TEST_F(ShardWriterTest, ledger_otherShardCountThanStored_isTypedErrorAndNothingIsWritten)
{
    BudgetFixture::topUp("p", 5);
    LedgerSettings other = ledgerSettings;
    other.shardCount = 3;
    Ledger ledger(store, timers, random, other);
    const int writes = store.writes();
    std::optional<absl::Status> status;
    ledger.submit(kBudget, create(1), Urgency::Urgent, [&](const absl::Status &it) {
        status = it;
    });
    run(Seconds(1));

    EXPECT_EQ(failureCode(status.value()), FailureCode::InvalidSettings);
    EXPECT_EQ(store.writes(), writes);
}

}
