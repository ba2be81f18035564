#include "budgetfixture.h"

#include <array>

namespace RadishSwitch
{

/// Four budgets with one home each. Gateways lose the connection to the store together and are killed together. The
/// homes run either in the gateways, or in processes beside the endpoints, which are not affected.
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

    /// The number of refused calls in 50 s during which exactly the paid tokens are requested.
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
            // From 8 to 17 s and from 26 to 34 s no gateway can reach the store.
            if (areHit) {
                cut((tick >= 160 && tick < 340) || (tick >= 520 && tick < 680));
            }
            // At 20 and 38 s three of four gateways are killed.
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

// With homes in the gateways, callers of all organisations are refused during outages of the store. Later they are
// refused because the portions of killed gateways are lost to the budgets. With homes beside the endpoints the same
// load is served without refusals.
TEST_F(BudgetHomesTest, gatewaysDisconnectedAndKilled_budgetsHeldBesideEndpoints_serveAllCalls)
{
    const int beside = countRefused(Place::BesideEndpoints);
    const int atGateways = countRefused(Place::Gateways);
    RecordProperty("refused_beside_endpoints", beside);
    RecordProperty("refused_at_gateways", atGateways);
    EXPECT_EQ(beside, 0);
    EXPECT_GT(atGateways, 50);
}

}
