#include "base/failure.h"
#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "prepaidbudgets.h"
#include "seededrandom.h"
#include "storelink.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

/// Reserves against the portions of this process, either as the budget's home or as a stand-in for a home that can't be
/// reached.
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

    /// Makes a reservation and returns its result within one second of virtual time.
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

TEST_F(PrepaidBudgetsTest, reservation_storeReachable_isGranted)
{
    EXPECT_TRUE(reserve("c1").ok());
}

// A gateway is cut off from the store and from a budget's home. It must refuse its callers at once and leave no request
// to the ledger pending. Otherwise each gateway takes a portion of each budget as soon as the store is back.
TEST_F(PrepaidBudgetsTest, standIn_storeLost_refusesAndLeavesNoPendingWrite)
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

TEST_F(PrepaidBudgetsTest, standIn_storeLost_spendsPortionItHolds)
{
    isStandIn = true;
    EXPECT_TRUE(reserve("c1").ok());
    isStoreLost = true;
    link.setCut(true);
    EXPECT_TRUE(reserve("c2").ok());
}

// Gateways learn of a payment from their configuration, the home learns of it only from the gateways' reservations. A
// gateway whose configuration is out of date still sends the older total. The home must not undo the payment because of
// it, nor write to the store for each such reservation.
TEST_F(PrepaidBudgetsTest, paymentTold_isUsableAtOnceAndAnOlderTotalChangesNothing)
{
    EXPECT_EQ(failureCode(reserve("c1", 150'000)), FailureCode::BudgetExhausted);
    allowance = {2, 200'000};
    EXPECT_TRUE(reserve("c2", 150'000).ok());
    allowance = {1, 100'000};
    EXPECT_TRUE(reserve("c3", 40'000).ok());
}
