#include "budgetfixture.h"
#include "serving/sharedbudgets.h"

#include <map>

using namespace RadishSwitch;

namespace
{

constexpr int kGateways = 5;
constexpr std::int64_t kCallTokens = 1'000;

}

/// Five gateways with calls of two organisations at a steady rate, over one ledger.
class AdvanceLoadTest : public BudgetFixture
{
protected:
    /// One gateway: its own portions, and the way to the others.
    class Gateway : public LocalBudgets, public BudgetPeerPort
    {
    public:
        Gateway(AdvanceLoadTest &fleet, const std::string &name)
            : homes(name)
            , process(fleet.start(name))
            , m_fleet(fleet)
        {
            SharedBudgetsSettings settings;
            settings.ledgerShards = fleet.ledgerSettings.shardCount;
            settings.advances.survivalTime = fleet.survivalTime;
            settings.advances.callsAhead = fleet.survivalTime == Duration::zero() ? 0 : 2;
            budgets.emplace(homes, *this, *this, fleet.timers, fleet.random, settings);
        }

        void reserveHere(const ReservationRequest &request, ReservationCallback callback) override
        {
            process->holder->reserve(request, std::move(callback));
        }

        bool isLedgerAway(const BudgetId &) const override
        {
            return m_fleet.isCut;
        }

        void settleHere(const RequestId &call, std::int64_t usedTokens) override
        {
            EXPECT_TRUE(process->holder->settle(call, usedTokens).ok());
        }

        void reserve(const std::string &peer, const ReservationRequest &request, Duration timeout,
                     BudgetPeerCallback callback) override
        {
            if (m_fleet.isCut) {
                m_fleet.timers.after(timeout, [callback] {
                    callback(makeFailure(FailureCode::ConnectionSilent, "cut"));
                });
                return;
            }
            m_fleet.gateways.at(peer)->reserveHere(request, [callback](const absl::StatusOr<Reservation> &result) {
                callback(result.ok() ? absl::StatusOr<std::int64_t>(result->tokens) : result.status());
            });
        }

        void settle(const std::string &peer, const RequestId &call, std::int64_t usedTokens) override
        {
            if (!m_fleet.isCut) {
                m_fleet.gateways.at(peer)->settleHere(call, usedTokens);
            }
        }

        void chargePart(const std::string &peer, const RequestId &advance, std::int64_t usedTokens) override
        {
            if (!m_fleet.isCut) {
                EXPECT_TRUE(m_fleet.gateways.at(peer)->process->holder->chargePart(advance, usedTokens).ok());
            }
        }

        HomeDirectory homes;
        std::unique_ptr<Process> process;
        std::optional<SharedBudgets> budgets;

    private:
        AdvanceLoadTest &m_fleet;
    };

    struct Counts {
        int granted = 0;
        int refused = 0;
    };

    void startFleet()
    {
        holderSettings.survivalTime = Seconds(9);
        holderSettings.use = {Seconds(4), Milliseconds(1500)};
        holderSettings.heldPerLeft = 1.5;
        holderSettings.leastHeldShare = 0.15;
        holderSettings.mostHeldShare = 0.6;
        holderSettings.checkpointInterval = Seconds(8);
        ledgerSettings.soonDelay = Milliseconds(200);
        ledgerSettings.relaxedDelay = Milliseconds(800);
        ledgerSettings.failuresUntilAway = 1;
        topUp("p1", 20'000'000, organisationBudget(0));
        topUp("p2", 20'000'000, organisationBudget(1));
        std::map<std::string, GatewayPeer> peers;
        for (int n = 0; n < kGateways; ++n) {
            const std::string name = "g" + std::to_string(n);
            peers[name] = {"10.0.0." + std::to_string(n) + ":1", 1};
            gateways[name] = std::make_unique<Gateway>(*this, name);
        }
        for (const auto &[name, gateway] : gateways) {
            gateway->homes.setPeers(peers);
        }
    }

    static BudgetId organisationBudget(int n)
    {
        return {OrganisationId("o" + std::to_string(n)), "prepaid"};
    }

    void setCut(bool cut)
    {
        isCut = cut;
        for (const auto &[name, gateway] : gateways) {
            gateway->process->link.setCut(cut);
        }
    }

    /// Ten calls a second at each gateway, each a second long.
    Counts play(Duration span)
    {
        Counts counts;
        const Instant end = timers.now() + span;
        while (timers.now() < end) {
            for (const auto &[name, gateway] : gateways) {
                call(*gateway, counts);
            }
            run(Milliseconds(100));
        }
        return counts;
    }

    void call(Gateway &gateway, Counts &counts)
    {
        const RequestId id("call" + std::to_string(++lastCall));
        const ReservationRequest request{id, organisationBudget(lastCall % 2), kCallTokens,
                                         timers.now() + Milliseconds(250)};
        gateway.budgets->reserve(request, [this, id, &gateway, &counts](const absl::Status &status) {
            ++(status.ok() ? counts.granted : counts.refused);
            if (status.ok()) {
                timers.after(Seconds(1), [&gateway, id] {
                    gateway.budgets->settle(id, kCallTokens);
                });
            }
        });
    }

    Duration survivalTime = Seconds(9);
    std::map<std::string, std::unique_ptr<Gateway>> gateways;
    bool isCut = false;
    int lastCall = 0;
};

// Callers ask at all gateways when these lose the store and one another for eight seconds. The homes' portions can't be
// reached; each gateway goes on with what it had ahead, and hardly a caller is refused.
TEST_F(AdvanceLoadTest, allGatewaysCutOff_callsGoOnOutOfAdvances)
{
    startFleet();
    const Counts before = play(Seconds(10));
    EXPECT_EQ(before.refused, 0);
    setCut(true);
    const Counts during = play(Seconds(8));
    setCut(false);
    EXPECT_LE(during.refused * 100, during.granted + during.refused);
    const Counts after = play(Seconds(10));
    EXPECT_LE(after.refused * 20, after.granted);
}

// The same load without advances, to show what they are for: most callers are refused.
TEST_F(AdvanceLoadTest, allGatewaysCutOffWithoutAdvances_mostCallsAreRefused)
{
    survivalTime = Duration::zero();
    startFleet();
    EXPECT_EQ(play(Seconds(10)).refused, 0);
    setCut(true);
    const Counts during = play(Seconds(8));
    EXPECT_GE(during.refused * 2, during.granted + during.refused);
}

TEST_F(AdvanceLoadTest, steadyLoad_isGrantedWithFewCallsToTheStore)
{
    startFleet();
    (void)play(Seconds(10));
    const auto calls = [this] {
        int sum = 0;
        for (const auto &[name, gateway] : gateways) {
            sum += gateway->process->link.calls();
        }
        return sum;
    };
    const int before = calls();
    EXPECT_EQ(play(Seconds(10)).refused, 0);
    // 500 calls, and two budgets whose homes ask for more about once a second.
    EXPECT_LE(calls() - before, 60);
}
