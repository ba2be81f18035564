#include "partsettings.h"

#include "base/failure.h"
#include "budgets/budgetrecord.h"
#include "systemrandom.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

// Guards against a nearly spent budget whose remaining tokens are all lost with one home. The home of a busy budget
// asks for a portion for nine seconds of use, which is more than the budget has left, and is killed; its portion is
// lost. The remaining free tokens have to cover the calls of the next seconds.
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

// Guards against gateways that together exceed a low retry bound because each uses a fixed share of its own.
TEST(PartSettingsTest, lowRetryBound_shareOfGatewayStaysBelowIt)
{
    GatewaySettings settings;
    settings.retryBound = 0.05;

    EXPECT_LT(retrySettings(settings).share, 0.05);
}

// Guards against a price of late calls that is taken as given: a negative one would attract calls to overloaded
// endpoints, and a typing error would be noticed only under load.
TEST(PlacementFlagsTest, lateCallSeconds_outOfRange_isRefusedWithItsRange)
{
    for (const std::string &value : {"-1", "60.5", "nan", "much"}) {
        GatewaySettings settings;
        SettingsParser parser("gateway", "");
        addGatewaySettings(parser, settings);
        const absl::Status status = parser.parse({"--platform=127.0.0.1:1", "--region=r", "--zone=z", "--instance=g",
                                                  "--fleet-key=0123456789abcdef", "--late-call-seconds=" + value});
        EXPECT_EQ(failureCode(status), FailureCode::InvalidSettings);
        for (const std::string &part : {std::string("--late-call-seconds"), value, std::string("from 0 to 60")}) {
            EXPECT_NE(status.message().find(part), absl::string_view::npos) << status.message();
        }
    }
}

// Guards against flags that are read and not passed on to the choice of endpoints.
TEST(PlacementFlagsTest, placementByNeed_switchedOff_reachesGate)
{
    GatewaySettings settings;
    SettingsParser parser("gateway", "");
    addGatewaySettings(parser, settings);
    const absl::Status status =
        parser.parse({"--platform=127.0.0.1:1", "--region=r", "--zone=z", "--instance=g",
                      "--fleet-key=0123456789abcdef", "--late-call-seconds=2.5", "--no-need-placement"});
    ASSERT_TRUE(status.ok()) << status;
    EXPECT_TRUE(gateSettings(settings).placement.hasNoNeedPlacement);
    EXPECT_EQ(gateSettings(settings).placement.lateCallSeconds, 2.5);
    EXPECT_FALSE(gateSettings(GatewaySettings()).placement.hasNoNeedPlacement);
}

// Guards against refusals by counted bytes at links that were never seen full, or whose bandwidth is not known.
TEST(PartSettingsTest, intakeBudget_actsOnlyAtNarrowLinks)
{
    GatewaySettings settings;
    LinkTraffic traffic;
    EXPECT_FALSE(intakeBudgetSettings(settings).isRefusing);
    EXPECT_EQ(countedTraffic(settings, traffic), nullptr);

    settings.linkMbps = 50;
    EXPECT_FALSE(intakeBudgetSettings(settings).isRefusing);
    EXPECT_EQ(connectionSettings(settings, traffic).traffic, &traffic);

    settings.hasIntakeBudget = true;
    EXPECT_EQ(intakeBudgetSettings(settings), (IntakeBudgetSettings{50, true}));
    settings.linkMbps = 50.5;
    EXPECT_EQ(intakeBudgetSettings(settings), (IntakeBudgetSettings{50.5, false}));
    settings.linkMbps = 10;
    settings.takesAllCalls = true;
    EXPECT_FALSE(intakeBudgetSettings(settings).isRefusing);
}
