#include "base/failure.h"
#include "budgets/ledgerlayout.h"
#include "serving/sharedbudgets.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <map>

using namespace RadishSwitch;

namespace
{

/// Answers with a set status, and records the calls.
class FakePeers : public BudgetPeerPort
{
public:
    void reserve(const std::string &peer, const ReservationRequest &request, Duration,
                 std::function<void(absl::Status)> callback) override
    {
        asked.push_back(peer);
        standIns.push_back(request.isStandIn);
        const auto it = answers.find(peer);
        callback(it == answers.end() ? absl::OkStatus() : it->second);
    }

    void settle(const std::string &peer, const RequestId &, std::int64_t usedTokens) override
    {
        settled.emplace_back(peer, usedTokens);
    }

    std::map<std::string, absl::Status> answers;
    std::vector<std::string> asked;
    std::vector<bool> standIns;
    std::vector<std::pair<std::string, std::int64_t>> settled;
};

class FakeLocal : public LocalBudgets
{
public:
    void reserveLocally(const ReservationRequest &request, ReservationCallback callback) override
    {
        ++asked;
        callback(status.ok() ? absl::StatusOr<Reservation>(Reservation{PortionId("p"), request.tokens})
                             : absl::StatusOr<Reservation>(status));
    }

    bool isLedgerUnreachable(const BudgetId &) const override
    {
        return isLedgerLost;
    }

    void settleLocally(const RequestId &, std::int64_t usedTokens) override
    {
        settled.push_back(usedTokens);
    }

    absl::Status status;
    bool isLedgerLost = false;
    int asked = 0;
    std::vector<std::int64_t> settled;
};

}

class SharedBudgetsTest : public testing::Test
{
protected:
    SharedBudgetsTest()
        : homes("self")
        , budgets(homes, local, peers, timers)
    {
        homes.setPeers({{"self", {"10.0.0.1:1", 0.001}}, {"home", {"10.0.0.2:1", 1000}}, {"next", {"10.0.0.3:1", 1}}});
    }

    absl::Status reserve(const std::string &call)
    {
        absl::Status result = makeFailure(FailureCode::Internal, "no answer");
        budgets.reserve({RequestId(call), BudgetId{OrganisationId("o"), "prepaid"}, 100, Instant::max()},
                        [&result](const absl::Status &status) {
                            result = status;
                        });
        return result;
    }

    VirtualTimerService timers;
    FakePeers peers;
    FakeLocal local;
    HomeDirectory homes;
    SharedBudgets budgets;
};

TEST_F(SharedBudgetsTest, reserve_homeReachable_reservesAndSettlesAtHome)
{
    EXPECT_TRUE(reserve("c1").ok());
    EXPECT_EQ(peers.asked, std::vector<std::string>{"home"});
    budgets.settle(RequestId("c1"), 60);
    budgets.settle(RequestId("c1"), 60);
    ASSERT_EQ(peers.settled.size(), 1U);
    EXPECT_EQ(peers.settled.front(), (std::pair<std::string, std::int64_t>("home", 60)));
    EXPECT_EQ(budgets.openCalls(), 0U);
}

// Guards against calls that fail because the home was killed. The next gateway reserves for the call, and later calls
// don't ask the dead home again.
TEST_F(SharedBudgetsTest, reserve_homeLost_reservesAtNextGateway)
{
    peers.answers["home"] = makeFailure(FailureCode::ConnectionLost, "connection lost");
    EXPECT_TRUE(reserve("c1").ok());
    EXPECT_TRUE(reserve("c2").ok());
    EXPECT_EQ(peers.asked, (std::vector<std::string>{"home", "next", "next"}));
    timers.advance(std::chrono::seconds(1));
    peers.answers.clear();
    EXPECT_TRUE(reserve("c3").ok());
    EXPECT_EQ(peers.asked.back(), "home");
}

TEST_F(SharedBudgetsTest, reserve_noPeerReachable_usesOwnPortion)
{
    peers.answers["home"] = makeFailure(FailureCode::ConnectionSilent, "silent");
    peers.answers["next"] = makeFailure(FailureCode::ConnectionLost, "connection lost");
    EXPECT_TRUE(reserve("c1").ok());
    budgets.settle(RequestId("c1"), 7);
    EXPECT_EQ(local.settled, std::vector<std::int64_t>{7});
}

// Guards against refusing a call while another gateway can still reach the store: this gateway is the home, is cut off
// from the store and has used up its portions.
TEST_F(SharedBudgetsTest, reserve_gatewayIsHomeWithoutLedger_asksNextGateway)
{
    homes.setPeers({{"self", {"10.0.0.1:1", 1000}}, {"next", {"10.0.0.3:1", 0.001}}});
    local.status = makeFailure(FailureCode::BudgetUnavailable, "the ledger does not answer");
    local.isLedgerLost = true;
    EXPECT_TRUE(reserve("c1").ok());
    EXPECT_EQ(peers.asked, std::vector<std::string>{"next"});
    budgets.settle(RequestId("c1"), 9);
    EXPECT_EQ(peers.settled.size(), 1U);
}

TEST_F(SharedBudgetsTest, reserve_budgetExhausted_asksNobodyElse)
{
    peers.answers["home"] = makeFailure(FailureCode::BudgetExhausted, "empty");
    EXPECT_EQ(failureCode(reserve("c1")), FailureCode::BudgetExhausted);
    EXPECT_EQ(local.asked, 0);
}

// Guards against refusing a call while another process can still reach the store. The home has used up its portion and
// is cut off from the store, so the next gateway stands in for it. If that one is cut off too, this gateway may still
// reach the store. If it doesn't either, the caller gets the failure at once.
TEST_F(SharedBudgetsTest, reserve_homeWithoutLedger_reservesAtFirstThatReachesIt)
{
    peers.answers["home"] = makeFailure(FailureCode::BudgetUnavailable, "the ledger does not answer");
    EXPECT_TRUE(reserve("c0").ok());
    EXPECT_EQ(peers.asked.back(), "next");
    peers.answers["next"] = makeFailure(FailureCode::BudgetUnavailable, "the ledger does not answer");
    EXPECT_TRUE(reserve("c1").ok());
    EXPECT_EQ(local.asked, 1);
    local.isLedgerLost = true;
    EXPECT_EQ(failureCode(reserve("c2")), FailureCode::BudgetUnavailable);
    EXPECT_EQ(local.asked, 1);
}

// Guards against making a slow ledger slower. The home is alive and waits for the ledger. If other processes were
// asked, there would be more writers of the same object.
TEST_F(SharedBudgetsTest, reserve_homeWaitsForLedger_asksNobodyElse)
{
    peers.answers["home"] = makeFailure(FailureCode::LedgerLate, "late");
    EXPECT_EQ(failureCode(reserve("c1")), FailureCode::LedgerLate);
    EXPECT_EQ(peers.asked, std::vector<std::string>{"home"});
    EXPECT_EQ(local.asked, 0);
}

// Guards against a stand-in that takes a large portion of a budget, which is left there unused when the home is back. A
// stand-in is told that it is one, so that it takes little.
TEST_F(SharedBudgetsTest, reserve_homeLost_tellsStandInThatItIsOne)
{
    peers.answers["home"] = makeFailure(FailureCode::ConnectionLost, "connection lost");
    EXPECT_TRUE(reserve("c1").ok());
    EXPECT_EQ(peers.asked, (std::vector<std::string>{"home", "next"}));
    EXPECT_EQ(peers.standIns, (std::vector<bool>{false, true}));
}
