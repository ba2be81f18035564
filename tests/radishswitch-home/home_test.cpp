#include "home.h"

#include "base/failure.h"
#include "budgetpeers.h"
#include "fleetparts.h"
#include "peerentry.h"
#include "storeserver.h"
#include "streamoriginpeers.h"
#include "watchpeers.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>
#include <utility>

using namespace RadishSwitch;

namespace
{

constexpr std::chrono::seconds kAnswerTimeout{20};

}

/// Runs a home on the loopback interface with a stand-in for the platform's store. The tests call the home through the
/// classes that a gateway uses.
class HomeTest : public testing::Test
{
protected:
    template<typename Function>
    auto runOnCallers(Function function)
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        callers.post([&task] {
            task();
        });
        return result.get();
    }

    HomeTest()
        : storeWorkers(1)
        , callers(1)
        , store(storeWorkers)
        , timers(callers)
        , clients(callers, transportSettings(FleetSettings()))
        , directory("gateway")
        , peers(clients, directory, timers, std::chrono::seconds(20))
        , origins(clients, directory, timers)
    {
        EXPECT_TRUE(store.listen("127.0.0.1", 0).ok());
        storeWorkers.start();
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
        runOnCallers([this] {
            directory.setPeers({{"home-1", {"127.0.0.1:" + std::to_string(home->port()), 1, "a", PeerKind::Home}}});
        });
    }

    ~HomeTest() override
    {
        home.reset();
        callers.stop();
        storeWorkers.stop();
    }

    absl::Status reserve(const std::string &call, std::int64_t tokens)
    {
        std::promise<absl::Status> answered;
        callers.post([&, tokens] {
            ReservationRequest request{RequestId(call), PrepaidBudgets::budgetOf(OrganisationId("magnolia")), tokens,
                                       timers.now() + std::chrono::seconds(2)};
            request.allowance = allowance;
            // The tests check the home's answer, not its speed. On a busy machine the answer can arrive after the
            // reservation's deadline, so the test waits much longer for it.
            peers.reserve("home-1", request, kAnswerTimeout, [&answered](const absl::Status &status) {
                answered.set_value(status);
            });
        });
        std::future<absl::Status> result = answered.get_future();
        if (result.wait_for(kAnswerTimeout) != std::future_status::ready) {
            return makeFailure(FailureCode::Internal, "no answer");
        }
        return result.get();
    }

    void settle(const std::string &call, std::int64_t tokens)
    {
        runOnCallers([&] {
            peers.settle("home-1", RequestId(call), tokens);
        });
    }

    /// The contents of the ledger's objects in the store, as JSON text.
    std::string ledgerText()
    {
        std::promise<std::string> read;
        storeWorkers.post([&] {
            read.set_value(store.table().list("ledger", "").body.dump());
        });
        return read.get_future().get();
    }

    Allowance allowance{1, 1'000};
    WorkerPool storeWorkers;
    WorkerPool callers;
    StoreServer store;
    AsioTimerService timers;
    MessageClients clients;
    HomeDirectory directory;
    BudgetPeers peers;
    StreamOriginPeers origins;
    std::unique_ptr<Home> home;
};

TEST_F(HomeTest, reservations_neverExceedWhatWasPaid)
{
    EXPECT_TRUE(reserve("c1", 700).ok());
    EXPECT_EQ(failureCode(reserve("c2", 700)), FailureCode::BudgetExhausted);
    settle("c1", 200);
    EXPECT_TRUE(reserve("c3", 700).ok());
}

// A payment is made while the home runs. The home reads no configuration and learns of the new total from the next
// reservation of a gateway. Guards against a home that keeps refusing after the payment.
TEST_F(HomeTest, reservation_withNewerAllowance_usesItAtOnce)
{
    EXPECT_EQ(failureCode(reserve("c1", 1'500)), FailureCode::BudgetExhausted);
    allowance = {2, 2'000};
    EXPECT_TRUE(reserve("c2", 1'500).ok());
}

// A home is stopped for an upgrade of its instance. Its portions must go back to the budget, so that the next home can
// grant the tokens.
TEST_F(HomeTest, plannedStop_openReservation_returnsPortionsOnceSettled)
{
    ASSERT_TRUE(reserve("c1", 700).ok());
    std::promise<void> drained;
    home->drain([&drained] {
        drained.set_value();
    });
    EXPECT_EQ(failureCode(reserve("c2", 100)), FailureCode::Draining);
    settle("c1", 300);
    ASSERT_EQ(drained.get_future().wait_for(kAnswerTimeout), std::future_status::ready);
    EXPECT_EQ(ledgerText().find("\"granted\""), std::string::npos) << ledgerText();
}

// An unknown client connects and sends bytes that are not a message. The home must close only that client's stream and
// go on serving the gateways.
TEST_F(HomeTest, unreadableMessage_unknownClient_closesOnlyItsStream)
{
    ASSERT_TRUE(reserve("c1", 100).ok());
    std::promise<absl::Status> closed;
    MessageClients unknownClients(callers, transportSettings(FleetSettings()));
    const MessageStreamPointer stream = unknownClients.client("127.0.0.1:" + std::to_string(home->port()))
                                            ->open(kBudgetPath, "\xff\xff\xff no message");
    stream->start([](const std::string &) {},
                  [&closed](const absl::Status &status) {
                      closed.set_value(status);
                  });
    std::future<absl::Status> result = closed.get_future();
    ASSERT_EQ(result.wait_for(kAnswerTimeout), std::future_status::ready);
    EXPECT_TRUE(reserve("c2", 100).ok());
}

// A gateway that is cut off from the store watches the store through the home.
TEST_F(HomeTest, watch_fromGateway_isAnsweredFromStore)
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
    ASSERT_EQ(result.wait_for(kAnswerTimeout), std::future_status::ready);
    const absl::StatusOr<StoreChanges> changes = result.get();
    ASSERT_TRUE(changes.ok()) << changes.status();
    EXPECT_FALSE(changes->objects.empty());
}

// Guards against origins of streams that are lost with the gateway that began them.
TEST_F(HomeTest, originOfStream_isKeptForOtherGatewaysAndNotToldToOtherOrganisations)
{
    const StreamOrigin origin{OrganisationId("magnolia"), PoolId("llm"), SoftwareVersion("v2")};
    Duration keptFor{};
    const auto ask = [&](const std::string &organisation) {
        std::promise<absl::StatusOr<StreamOriginAnswer>> answered;
        callers.post([&] {
            const StreamOriginQuery query{RequestId("call-1"), OrganisationId(organisation), {PoolId("llm")}};
            origins.ask("home-1", query, kAnswerTimeout, [&](const absl::StatusOr<StreamOriginAnswer> &answer) {
                answered.set_value(answer);
            });
        });
        absl::StatusOr<StreamOriginAnswer> answer = answered.get_future().get();
        keptFor = std::exchange(answer->keptFor, Duration::zero());
        return answer;
    };
    EXPECT_EQ(*ask("magnolia"), StreamOriginAnswer());
    runOnCallers([&] {
        origins.tell("home-1", {{RequestId("call-1"), origin}});
    });
    StreamOriginAnswer known;
    known.origin = origin;
    known.hasSeveralVersions = true;
    EXPECT_EQ(*ask("magnolia"), known);
    StreamOriginAnswer unnamed;
    unnamed.hasSeveralVersions = true;
    unnamed.hasUnnamedRecord = true;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
    EXPECT_EQ(*ask("thistle"), unnamed);
    EXPECT_GT(keptFor, Duration::zero());
}

// Guards against a stream that begins at a further version before the home has the record that tells so.
TEST_F(HomeTest, recordThatMustBeKept_isConfirmed)
{
    const StreamOrigin unknown{OrganisationId("magnolia"), PoolId("llm"), SoftwareVersion()};
    std::promise<absl::Status> kept;
    std::promise<absl::StatusOr<StreamOriginAnswer>> answered;
    callers.post([&] {
        origins.keep("home-1", {RequestId("call-1"), unknown}, kAnswerTimeout, [&](const absl::Status &status) {
            kept.set_value(status);
        });
        const StreamOriginQuery query{RequestId("call-1"), unknown.organisation, {unknown.pool}};
        origins.ask("home-1", query, kAnswerTimeout, [&](const absl::StatusOr<StreamOriginAnswer> &answer) {
            answered.set_value(answer);
        });
    });
    EXPECT_TRUE(kept.get_future().get().ok());
    const absl::StatusOr<StreamOriginAnswer> answer = answered.get_future().get();
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_TRUE(answer->hasUnnamedRecord);
    EXPECT_EQ(answer->origin, std::nullopt);
}
