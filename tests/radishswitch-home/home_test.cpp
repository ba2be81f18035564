#include "home.h"

#include "base/failure.h"
#include "budgetpeers.h"
#include "fleetparts.h"
#include "peerentry.h"
#include "storeserver.h"
#include "watchpeers.h"

#include <gtest/gtest.h>

#include <future>

using namespace RadishSwitch;

namespace
{

constexpr std::chrono::seconds kLong{20};

}

/// A home on loopback before a stand-in of the platform's store, asked by a gateway's side of the link.
class HomeTest : public testing::Test
{
protected:
    template<typename Function>
    auto onCallers(Function function)
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        callers.post([&task] {
            task();
        });
        return result.get();
    }

    HomeTest()
        : standins(1)
        , callers(1)
        , store(standins)
        , timers(callers)
        , clients(callers, transportSettings(FleetSettings()))
        , directory("gateway")
        , peers(clients, directory, timers, std::chrono::seconds(20))
    {
        EXPECT_TRUE(store.listen("127.0.0.1", 0).ok());
        standins.start();
        callers.start();
        BudgetHomeSettings settings;
        settings.log.level = LogLevel::Off;
        settings.peerListen = {"127.0.0.1", 0};
        settings.adminListen = {"127.0.0.1", 0};
        settings.platform = {"127.0.0.1", store.port()};
        settings.instance = "home-1";
        settings.region = "south";
        settings.zone = "a";
        home = std::make_unique<Home>(settings);
        EXPECT_TRUE(home->start().ok());
        onCallers([this] {
            directory.setPeers({{"home-1", {"127.0.0.1:" + std::to_string(home->port()), 1, "a", PeerKind::Home}}});
        });
    }

    ~HomeTest() override
    {
        home.reset();
        callers.stop();
        standins.stop();
    }

    absl::Status reserve(const std::string &call, std::int64_t tokens)
    {
        std::promise<absl::Status> answered;
        callers.post([&, tokens] {
            ReservationRequest request{RequestId(call), PrepaidBudgets::budgetOf(OrganisationId("magnolia")), tokens,
                                       timers.now() + std::chrono::seconds(2)};
            request.allowance = allowance;
            // The home's word is what is tested: its way back is waited for beyond the deadline, however busy the
            // machine.
            peers.reserve("home-1", request, kLong, [&answered](const absl::Status &status) {
                answered.set_value(status);
            });
        });
        std::future<absl::Status> result = answered.get_future();
        if (result.wait_for(kLong) != std::future_status::ready) {
            return makeFailure(FailureCode::Internal, "no answer");
        }
        return result.get();
    }

    void settle(const std::string &call, std::int64_t tokens)
    {
        onCallers([&] {
            peers.settle("home-1", RequestId(call), tokens);
        });
    }

    /// What the ledger's objects hold, as text.
    std::string ledgerText()
    {
        std::promise<std::string> read;
        standins.post([&] {
            read.set_value(store.table().list("ledger", "").body.dump());
        });
        return read.get_future().get();
    }

    Allowance allowance{1, 1'000};
    WorkerPool standins;
    WorkerPool callers;
    StoreServer store;
    AsioTimerService timers;
    MessageClients clients;
    HomeDirectory directory;
    BudgetPeers peers;
    std::unique_ptr<Home> home;
};

TEST_F(HomeTest, reservations_neverExceedWhatWasPaid)
{
    EXPECT_TRUE(reserve("c1", 700).ok());
    EXPECT_EQ(failureCode(reserve("c2", 700)), FailureCode::BudgetExhausted);
    settle("c1", 200);
    EXPECT_TRUE(reserve("c3", 700).ok());
}

// A payment is made while the home runs. It reads no configuration; the next gateway that reserves tells it.
TEST_F(HomeTest, paymentTold_isUsableAtOnce)
{
    EXPECT_EQ(failureCode(reserve("c1", 1'500)), FailureCode::BudgetExhausted);
    allowance = {2, 2'000};
    EXPECT_TRUE(reserve("c2", 1'500).ok());
}

// The home's instance is upgraded. What it holds goes back to the budget, so that the next home can give it out.
TEST_F(HomeTest, plannedStop_givesPortionsBackOnceCallsAreSettled)
{
    ASSERT_TRUE(reserve("c1", 700).ok());
    std::promise<void> drained;
    home->drain([&drained] {
        drained.set_value();
    });
    EXPECT_EQ(failureCode(reserve("c2", 100)), FailureCode::Draining);
    settle("c1", 300);
    ASSERT_EQ(drained.get_future().wait_for(kLong), std::future_status::ready);
    EXPECT_EQ(ledgerText().find("\"granted\""), std::string::npos) << ledgerText();
}

// Somebody else connects and sends what is no message. The stream ends, and the gateways' go on.
TEST_F(HomeTest, unreadableMessage_endsItsStreamAlone)
{
    ASSERT_TRUE(reserve("c1", 100).ok());
    std::promise<absl::Status> closed;
    MessageClients strangers(callers, transportSettings(FleetSettings()));
    const MessageStreamPointer stream =
        strangers.client("127.0.0.1:" + std::to_string(home->port()))->open(kBudgetPath, "\xff\xff\xff no message");
    stream->start([](const std::string &) {},
                  [&closed](const absl::Status &status) {
                      closed.set_value(status);
                  });
    std::future<absl::Status> result = closed.get_future();
    ASSERT_EQ(result.wait_for(kLong), std::future_status::ready);
    EXPECT_TRUE(reserve("c2", 100).ok());
}

// A gateway that is cut off from the store reads it through the home.
TEST_F(HomeTest, watchOfAGateway_isAnsweredFromTheStore)
{
    ASSERT_TRUE(reserve("c1", 100).ok());
    WatchPeers watches(clients, directory, timers);
    std::promise<absl::StatusOr<StoreChanges>> answered;
    callers.post([&] {
        watches.watch("home-1", "ledger/", 0, std::chrono::seconds(2),
                      [&answered](const absl::StatusOr<StoreChanges> &changes) {
                          answered.set_value(changes);
                      });
    });
    std::future<absl::StatusOr<StoreChanges>> result = answered.get_future();
    ASSERT_EQ(result.wait_for(kLong), std::future_status::ready);
    const absl::StatusOr<StoreChanges> changes = result.get();
    ASSERT_TRUE(changes.ok()) << changes.status();
    EXPECT_FALSE(changes->objects.empty());
}
