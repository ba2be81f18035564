#include "budgets/allowancechange.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class AllowanceChangeTest : public testing::Test
{
protected:
    void apply(std::uint64_t version, std::int64_t total)
    {
        AllowanceChange change(budget, version, total, 0);
        EXPECT_TRUE(change.apply(shard).ok());
    }

    std::int64_t paid() const
    {
        return shard.find(budget)->paid();
    }

    const BudgetId budget{OrganisationId("magnolia"), "prepaid"};
    LedgerShard shard;
};

TEST_F(AllowanceChangeTest, apply_sameVersionTwice_booksOnce)
{
    apply(3, 1000);
    apply(3, 1000);
    EXPECT_EQ(paid(), 1000);
    EXPECT_EQ(shard.find(budget)->topUps().size(), 1U);
}

TEST_F(AllowanceChangeTest, apply_laterVersion_booksTheDifference)
{
    apply(3, 1000);
    apply(7, 1500);
    EXPECT_EQ(paid(), 1500);
}

// A gateway that was disconnected submits an older version after a newer one was booked.
TEST_F(AllowanceChangeTest, apply_olderVersion_changesNothing)
{
    apply(7, 1500);
    apply(3, 1800);
    EXPECT_EQ(paid(), 1500);
}

TEST_F(AllowanceChangeTest, apply_lowerTotal_leavesPaidUnchanged)
{
    apply(3, 1000);
    apply(7, 400);
    EXPECT_EQ(paid(), 1000);
    EXPECT_TRUE(shard.find(budget)->check().ok());
}
