#include "partsettings.h"

#include "budgets/budgetrecord.h"
#include "systemrandom.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

// A busy budget is near its end, and its home asks for nine seconds of use, which are more than what is left. The home
// is killed, and what it holds is lost to the budget. What is left free has to carry the calls of the next seconds.
TEST(PartSettingsTest, holderOfNearlySpentBudgetKilled_mostOfBudgetStaysFree)
{
    SystemRandom random;
    const BudgetHolderSettings holder = holderSettings(GatewaySettings(), random);
    constexpr std::int64_t kLeft = 100'000;
    BudgetRecord record;
    ASSERT_TRUE(record.topUp(PaymentId("p"), {kLeft, "operator", 0}).ok());
    PortionRequest request;
    request.portion = PortionId("h-1");
    request.holder = IncarnationId("h");
    request.needed = 0;
    request.desired = 2 * kLeft;
    request.shareOfFree = holder.shareOfFree;
    ASSERT_TRUE(record.takePortion(request).ok());

    EXPECT_GE(record.free(), kLeft * 3 / 4);
}

// A deployment sets a lower bound on further attempts than usual; gateways that kept to their own figure would exceed
// it together.
TEST(PartSettingsTest, lowRetryBound_shareOfGatewayStaysBelowIt)
{
    GatewaySettings settings;
    settings.retryBound = 0.05;

    EXPECT_LT(retrySettings(settings).share, 0.05);
}
