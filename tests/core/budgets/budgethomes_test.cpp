#include "budgetfixture.h"

#include <array>

namespace RadishSwitch
{

/// Four budgets with a home each, and gateways that are cut off from the store together and killed in herds. The homes
/// are gateways, or processes beside endpoints, which share none of that.
class BudgetHomesTest : public BudgetFixture
{
protected:
    enum class Place {
        Gateways,
        BesideEndpoints,
    };

    static constexpr int kHomes = 4;
    static constexpr std::int64_t kPaid = 620'000;
    static constexpr std::int64_t kTokens = 2'000;

    BudgetHomesTest()
    {
        holderSettings.survivalTime = Seconds(9);
        holderSettings.use = {Seconds(4), Milliseconds(1500)};
        holderSettings.lowWaterShare = 0.85;
        holderSettings.heldPerLeft = 0.25;
        holderSettings.leastHeldShare = 0.02;
        holderSettings.mostHeldShare = 0.6;
        ledgerSettings.failuresUntilUnavailable = 1;
        ledgerSettings.soonDelay = Milliseconds(200);
        ledgerSettings.relaxedDelay = Milliseconds(800);
    }

    /// Calls refused in 50 s in which just what was paid for is asked for.
    int countRefused(Place place)
    {
        const std::string name = place == Place::Gateways ? "g" : "h";
        for (int n = 0; n < kHomes; ++n) {
            topUp("p", kPaid, budget(name, n));
            m_homes[n] = start(name + std::to_string(n));
        }
        const bool areHit = place == Place::Gateways;
        int refused = 0;
        for (int tick = 0; tick < 1'000; ++tick) {
            // 8 to 17 s, and 26 to 34 s: all gateways are cut off from the store.
            if (areHit) {
                cut((tick >= 160 && tick < 340) || (tick >= 520 && tick < 680));
            }
            // 20 and 38 s: three in four gateways are killed.
            if (areHit && (tick == 400 || tick == 760)) {
                killThree(name + std::to_string(tick));
            }
            refused += call(budget(name, tick % kHomes), *m_homes[tick % kHomes]) ? 0 : 1;
        }
        return refused;
    }

private:
    static BudgetId budget(const std::string &name, int n)
    {
        return BudgetId{OrganisationId(name + "-organisation-" + std::to_string(n)), "prepaid"};
    }

    void cut(bool isCut)
    {
        for (const auto &home : m_homes) {
            home->link.setCut(isCut);
        }
    }

    void killThree(const std::string &incarnation)
    {
        for (int n = 0; n < kHomes - 1; ++n) {
            m_homes[n] = start(incarnation + "-" + std::to_string(n));
        }
    }

    bool call(const BudgetId &budget, Process &home)
    {
        const std::string request = "r" + std::to_string(++m_calls);
        const auto answer = reserve(home, request, kTokens, Milliseconds(300), budget);
        run(Milliseconds(50));
        if (!answer->isGranted()) {
            return false;
        }
        return home.holder->settle(RequestId(request), kTokens).ok();
    }

    std::array<std::unique_ptr<Process>, kHomes> m_homes;
    int m_calls = 0;
};

// Callers of all organisations are refused while the gateways are cut off, and for the rest of the day once what the
// killed gateways held is lost to the budgets. With homes beside endpoints the same load meets neither.
TEST_F(BudgetHomesTest, gatewaysCutOffAndKilled_budgetsHeldBesideEndpointsServeOn)
{
    const int beside = countRefused(Place::BesideEndpoints);
    const int atGateways = countRefused(Place::Gateways);
    RecordProperty("refused_beside_endpoints", beside);
    RecordProperty("refused_at_gateways", atGateways);
    EXPECT_EQ(beside, 0);
    EXPECT_GT(atGateways, 50);
}

}
