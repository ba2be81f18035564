#include "home.h"

#include "base/failure.h"
#include "fleetparts.h"
#include "httpclient.h"
#include "loadwire.h"
#include "peerentry.h"
#include "platformobjectstore.h"
#include "replicaserver.h"
#include "storeserver.h"
#include "wireconversion.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <future>
#include <map>

using namespace RadishSwitch;
using namespace std::chrono_literals;

/// Two homes on the loopback interface beside a stand-in of an engine, with a stand-in of the store. The test
/// subscribes to the collector as a gateway does.
class LoadReportingTest : public testing::Test
{
protected:
    LoadReportingTest()
        : workers(1)
        , callers(1)
        , store(workers)
        , replica(workers, replicaSettings())
        , clients(callers, transportSettings(FleetSettings()))
    {
        EXPECT_TRUE(store.listen("127.0.0.1", 0).ok());
        EXPECT_TRUE(replica.listen("127.0.0.1", 0).ok());
        workers.start();
        callers.start();
        for (const std::string name : {"home-1", "home-2"}) {
            ports[name] = freePort();
            announce(name);
        }
        for (const std::string name : {"home-1", "home-2"}) {
            homes[name] = makeHome(name, engineAddress());
        }
    }

    ~LoadReportingTest() override
    {
        homes.clear();
        callers.stop();
        workers.stop();
    }

    static ReplicaSettings replicaSettings()
    {
        ReplicaSettings settings;
        settings.eventPause = 20ms;
        return settings;
    }

    std::string engineAddress() const
    {
        return "127.0.0.1:" + std::to_string(replica.port());
    }

    /// Writes the entry of a home before it starts, as it is after a restart: all homes find the whole list at once.
    void announce(const std::string &name)
    {
        PlatformObjectStore platform(callers, "127.0.0.1:" + std::to_string(store.port()));
        std::promise<absl::Status> written;
        const FleetPeer peer{"127.0.0.1:" + std::to_string(ports.at(name)), 1, "a", PeerKind::Home};
        platform.put(kPeersPrefix + name, writePeerEntry(peer), 0,
                     [&written](const absl::StatusOr<std::uint64_t> &version) {
                         written.set_value(version.status());
                     });
        const absl::Status status = written.get_future().get();
        EXPECT_TRUE(status.ok()) << status;
    }

    /// A free port, so that a home can announce its address before it listens.
    static std::uint16_t freePort()
    {
        boost::asio::io_context context;
        const boost::asio::ip::tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
        return boost::asio::ip::tcp::acceptor(context, any).local_endpoint().port();
    }

    std::unique_ptr<Home> makeHome(const std::string &name, const std::string &endpoint)
    {
        BudgetHomeSettings settings;
        settings.log.level = LogLevel::Off;
        settings.peerListen = {"127.0.0.1", ports.contains(name) ? ports.at(name) : freePort()};
        settings.adminListen = {"127.0.0.1", 0};
        settings.platform = {"127.0.0.1", store.port()};
        settings.instance = name;
        settings.region = "south";
        settings.zone = "a";
        settings.endpoint = endpoint;
        auto home = std::make_unique<Home>(settings);
        EXPECT_TRUE(home->start().ok());
        return home;
    }

    /// Subscribes to a home as a gateway, and waits for news of an endpoint.
    absl::StatusOr<EndpointLoadReport> newsOf(Home &home, Duration timeout)
    {
        wire::LoadMessage message;
        GatewayLoadReport report;
        report.gateway = "g-1";
        report.zone = "a";
        *message.mutable_gateway() = gatewayLoadToWire(report);
        const auto answered = std::make_shared<std::promise<absl::StatusOr<EndpointLoadReport>>>();
        const auto isAnswered = std::make_shared<bool>(false);
        std::future<absl::StatusOr<EndpointLoadReport>> result = answered->get_future();
        const MessageStreamPointer stream =
            clients.client("127.0.0.1:" + std::to_string(home.port()))->open(kLoadPath, message.SerializeAsString());
        stream->start(
            [answered, isAnswered](const std::string &frame) {
                const auto news = parseFrame<wire::LoadMessage>(frame);
                if (news.ok() && news->news().endpoints_size() > 0 && !std::exchange(*isAnswered, true)) {
                    answered->set_value(endpointLoadFromWire(news->news().endpoints(0)));
                }
            },
            [answered, isAnswered](const absl::Status &status) {
                if (!std::exchange(*isAnswered, true)) {
                    answered->set_value(status);
                }
            });
        const bool isReady = result.wait_for(timeout) == std::future_status::ready;
        stream->cancel();
        return isReady ? result.get() : absl::StatusOr<EndpointLoadReport>(absl::DeadlineExceededError("no news"));
    }

    /// The home that is the collector: the one that knows the endpoint.
    std::string collector()
    {
        for (int n = 0; n < 30; ++n) {
            for (const auto &[name, home] : homes) {
                if (newsOf(*home, 700ms).ok()) {
                    return name;
                }
            }
        }
        return {};
    }

    void startStream()
    {
        boost::asio::co_spawn(callers.context(), readStream(), boost::asio::detached);
    }

    boost::asio::awaitable<void> readStream()
    {
        HttpRequest request;
        request.target = "/chat";
        request.headers =
            HttpHeaders{{"Attempt-Id", "c-1"}, {"Token-Usage", "10,7000"}, {"Expect-Instance", "replica-1"}};
        auto response = co_await client.open(engineAddress(), request, std::chrono::seconds(5));
        if (!response.ok()) {
            co_return;
        }
        for (;;) {
            const auto piece = co_await (*response)->read(std::chrono::seconds(5));
            if (!piece.ok() || piece->empty()) {
                co_return;
            }
        }
    }

    WorkerPool workers;
    WorkerPool callers;
    StoreServer store;
    ReplicaServer replica;
    MessageClients clients;
    HttpClient client{callers};
    std::map<std::string, std::uint16_t> ports;
    std::map<std::string, std::unique_ptr<Home>> homes;
};

// A stream runs at an engine. Guards against a load that does not arrive at gateways, or arrives with wrong times.
TEST_F(LoadReportingTest, engine_reportReachesSubscriberOfTheCollector)
{
    startStream();
    const std::string chosen = collector();
    ASSERT_NE(chosen, "");
    absl::StatusOr<EndpointLoadReport> report = newsOf(*homes.at(chosen), 5s);
    for (int n = 0; n < 20 && report.ok() && report->idleEventInterval == Duration::zero(); ++n) {
        report = newsOf(*homes.at(chosen), 5s);
    }
    ASSERT_TRUE(report.ok()) << report.status();
    EXPECT_EQ(report->address, engineAddress());
    EXPECT_GT(report->startedAtMilliseconds, 1'600'000'000'000);
    EXPECT_EQ(report->running, 1);
    EXPECT_GE(report->idleEventInterval, 19ms);
    EXPECT_LE(report->idleEventInterval, 200ms);
    EXPECT_GT(report->memoryShare, 0);
}

// Guards against a zone whose gateways stay without load updates when the collector is killed.
TEST_F(LoadReportingTest, collectorKilled_otherHomeTakesOver)
{
    const std::string first = collector();
    ASSERT_NE(first, "");
    homes.erase(first);
    EXPECT_NE(collector(), "");
}

// Guards against a home without an endpoint that changes its behaviour: it takes no load reports.
TEST_F(LoadReportingTest, homeWithoutEndpoint_refusesTheStream)
{
    const auto home = makeHome("home-3", "");
    const auto news = newsOf(*home, 5s);
    ASSERT_FALSE(news.ok());
    EXPECT_EQ(failureCode(news.status()), FailureCode::MalformedMessage);
}

// Guards against a typing error in a flag that switches the part off without a word.
TEST(BudgetHomeSettingsTest, endpointFlag_invalidValue_isRefusedWithItsName)
{
    for (const std::string value : {"engine", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:99999"}) {
        BudgetHomeSettings settings;
        SettingsParser parser("radishswitch-home", "");
        addBudgetHomeSettings(parser, settings);
        const absl::Status status =
            parser.parse({"--platform", "10.0.0.1:1", "--region", "south", "--zone", "a", "--endpoint", value});
        EXPECT_EQ(failureCode(status), FailureCode::InvalidSettings);
        EXPECT_NE(status.message().find("--endpoint"), std::string::npos) << status;
        EXPECT_NE(status.message().find(value), std::string::npos) << status;
    }
}

// Guards against a home that does not start where the flag is given and switched off.
TEST(BudgetHomeSettingsTest, endpointFlag_empty_isOff)
{
    BudgetHomeSettings settings;
    SettingsParser parser("radishswitch-home", "");
    addBudgetHomeSettings(parser, settings);
    EXPECT_TRUE(parser.parse({"--platform", "10.0.0.1:1", "--region", "south", "--zone", "a", "--endpoint", ""}).ok());
    EXPECT_EQ(settings.endpoint, "");
}
