#include "base/failure.h"
#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "prepaidbudgets.h"
#include "seededrandom.h"
#include "storelink.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

/// A process's own portions, with a home elsewhere or here.
class PrepaidBudgetsTest : public testing::Test
{
protected:
    PrepaidBudgetsTest()
        : ledger(link, timers, random, LedgerSettings())
        , holder(ledger, timers, tasks, random, holderSettings())
        , budgets(ledger, holder, timers, [this] {
            return isStoreLost;
        })
    {
    }

    static BudgetHolderSettings holderSettings()
    {
        BudgetHolderSettings settings;
        settings.incarnation = IncarnationId("self-1");
        settings.region = "south";
        return settings;
    }

    /// How a reservation ends within a second.
    absl::Status reserve(const std::string &call, std::int64_t tokens = 100)
    {
        absl::Status result = makeFailure(FailureCode::Internal, "no answer");
        ReservationRequest request{RequestId(call), PrepaidBudgets::budgetOf(organisation), tokens,
                                   timers.now() + std::chrono::seconds(1)};
        request.isStandIn = isStandIn;
        request.allowance = allowance;
        budgets.reserveLocally(request, [&result](const absl::StatusOr<Reservation> &reservation) {
            result = reservation.status();
        });
        for (int n = 0; n < 200; ++n) {
            tasks.runAll();
            timers.advance(std::chrono::milliseconds(5));
        }
        return result;
    }

    const OrganisationId organisation{"magnolia"};
    Allowance allowance{1, 100'000};
    bool isStoreLost = false;
    bool isStandIn = false;
    ManualTaskQueue tasks;
    VirtualTimerService timers;
    SeededRandom random;
    MemoryObjectStore store{tasks};
    StoreLink link{store, tasks, timers};
    Ledger ledger;
    BudgetHolder holder;
    PrepaidBudgets budgets;
};

TEST_F(PrepaidBudgetsTest, reservation_storeReached_isGranted)
{
    EXPECT_TRUE(reserve("c1").ok());
}

// A gateway is cut off from the store and from a budget's home. Its callers are refused at once, and nothing waits for
// the store: else each gateway would take a portion of each budget in the moment in which the store is back.
TEST_F(PrepaidBudgetsTest, standInWithoutStore_refusesAndLeavesNothingToBeWrittenLater)
{
    isStandIn = true;
    isStoreLost = true;
    link.setCut(true);
    EXPECT_EQ(failureCode(reserve("c1")), FailureCode::BudgetUnavailable);
    isStoreLost = false;
    link.setCut(false);
    for (int n = 0; n < 2'000; ++n) {
        tasks.runAll();
        timers.advance(std::chrono::milliseconds(5));
    }
    for (const auto &[key, object] : store.objects()) {
        EXPECT_EQ(object.value.find("self-1"), std::string::npos) << key;
    }
}

TEST_F(PrepaidBudgetsTest, standInWithoutStore_spendsWhatItHolds)
{
    isStandIn = true;
    EXPECT_TRUE(reserve("c1").ok());
    isStoreLost = true;
    link.setCut(true);
    EXPECT_TRUE(reserve("c2").ok());
}

// A payment is known to gateways by the configuration, and to the home only by what comes with their reservations. One
// gateway is behind and still sends the older total: it must not undo the payment, nor cost a write each time.
TEST_F(PrepaidBudgetsTest, paymentTold_isUsableAtOnceAndAnOlderTotalChangesNothing)
{
    EXPECT_EQ(failureCode(reserve("c1", 150'000)), FailureCode::BudgetExhausted);
    allowance = {2, 200'000};
    EXPECT_TRUE(reserve("c2", 150'000).ok());
    allowance = {1, 100'000};
    EXPECT_TRUE(reserve("c3", 40'000).ok());
}
