#include "base/failure.h"
#include "fleetparts.h"
#include "gatewayfixture.h"
#include "loadwire.h"
#include "peerentry.h"

#include <atomic>
#include <deque>
#include <map>
#include <set>
#include <thread>

using namespace RadishSwitch;
using namespace std::chrono_literals;

/// Endpoints that start again under their ids with other software, while the platform's list still has their earlier
/// incarnations. All of them begin with "v1".
class RestartedEndpointsTest : public GatewayFixture
{
protected:
    using Fault = ReplicaServer::Fault;

    static constexpr int kEndpoints = 2;
    static constexpr int kStreams = 16;
    static constexpr std::int64_t kFirstStart = kStartedAtMilliseconds;
    static constexpr std::int64_t kSecondStart = 2'000;
    /// Longer than a gateway takes to see that an address refuses connections.
    static constexpr Duration kAway = 300ms;
    /// Events of a stream that is to be under way for four seconds.
    static constexpr int kManyEvents = 2'000;

    RestartedEndpointsTest()
        : homeWorkers(1)
        , home(homeWorkers, transportSettings(FleetSettings()))
    {
        for (int n = 0; n < kEndpoints; ++n) {
            launch(n, "v1", kFirstStart);
            reportedStarts[n] = kFirstStart;
        }
    }

    // Stopped first, since the endpoints are destroyed before the members of the base class.
    ~RestartedEndpointsTest() override
    {
        otherGateway.reset();
        gateway.reset();
        homeWorkers.stop();
        testServers.stop();
    }

    GatewaySettings gatewaySettings() override
    {
        GatewaySettings settings = GatewayFixture::gatewaySettings();
        settings.receivesLoadNews = true;
        // Calls must not be refused because the test machine is busy.
        settings.takesAllCalls = true;
        return settings;
    }

    static std::string idOf(int n)
    {
        return "engine-" + std::to_string(n);
    }

    std::string addressOf(int n)
    {
        return ownAddress(n) + ":" + std::to_string(ports.at(n));
    }

    /// Starts an incarnation of the endpoint, without an entry of its own. An address is free some moments after its
    /// last incarnation has crashed.
    void launch(int n, const std::string &version, std::int64_t startedAt = kSecondStart)
    {
        ReplicaSettings settings = serverSettings(idOf(n));
        settings.startedAtMilliseconds = startedAt;
        settings.softwareVersion = version;
        onTestServers([&] {
            servers.emplace_back(testServers, settings);
            current[n] = &servers.back();
        });
        waitUntil([&] {
            return onTestServers([&] {
                return current[n]->listen(ownAddress(n), ports[n]).ok();
            });
        });
        ports[n] = current[n]->port();
    }

    void list(int n, const std::string &version, std::int64_t startedAt, const std::string &state = "ready")
    {
        onTestServers([&] {
            Json entry = endpointEntry(ports.at(n), state, startedAt, version);
            entry["address"] = addressOf(n);
            putObject("servers", idOf(n), entry);
        });
    }

    /// Starts the gateway in front of the first endpoint.
    void startGateway()
    {
        onTestServers([this] {
            store.table().remove("servers", "replica-1", std::nullopt);
        });
        list(0, "v1", kFirstStart);
        start();
    }

    void crash(int n)
    {
        onTestServers([&] {
            current[n]->crash();
        });
    }

    /// Lets the only endpoint of the gateway crash while a call runs there, and waits until the gateway has seen it.
    void crashUnderRun(int n)
    {
        const std::string id = "crash-" + std::to_string(m_calls++);
        std::thread caller([&] {
            const auto response = call(streamRequest("/once/1", id, kManyEvents * 7));
            EXPECT_FALSE(response.ok() && response->status == 200);
        });
        waitUntilRunning(n, id);
        crash(n);
        caller.join();
        std::this_thread::sleep_for(kAway);
    }

    void waitUntilRunning(int n, const std::string &id)
    {
        waitUntil([&] {
            return onTestServers([&] {
                return current[n]->runs().contains(id);
            });
        });
    }

    /// Sends whole answers until the endpoint has run one.
    void waitUntilServing(int n)
    {
        waitUntil([&] {
            const std::string id = "whole-" + std::to_string(m_calls++);
            EXPECT_EQ(call(request("/safe/" + id, id))->status, 200);
            return onTestServers([&] {
                return current[n]->runs().contains(id);
            });
        });
    }

    /// Lets the streams of an endpoint break off from now on.
    void breakOffAt(int n)
    {
        onTestServers([&] {
            current[n]->addFaults(Fault::BreakOff, 10 * kStreams);
        });
    }

    /// The versions that wrote events of an answer.
    static std::set<std::string> versionsIn(const std::string &body)
    {
        std::set<std::string> versions;
        for (std::size_t at = body.find(ReplicaServer::kVersionMark); at != std::string::npos;
             at = body.find(ReplicaServer::kVersionMark, at + 1)) {
            versions.insert(body.substr(at + 1, body.find('\n', at) - at - 1));
        }
        return versions;
    }

    /// Sends resumable streams, and returns how many of them were answered by each set of versions.
    std::map<std::set<std::string>, int> sendStreams(int count = kStreams)
    {
        std::map<std::set<std::string>, int> answered;
        for (int n = 0; n < count; ++n) {
            const std::string id = "stream-" + std::to_string(m_calls++);
            const auto response = call(streamRequest("/resumable/a", id));
            if (response.ok() && response->status == 200) {
                ++answered[versionsIn(response->body)];
            }
        }
        return answered;
    }

    static int mixedIn(const std::map<std::set<std::string>, int> &answered)
    {
        int mixed = 0;
        for (const auto &[versions, count] : answered) {
            mixed += versions.size() > 1 ? count : 0;
        }
        return mixed;
    }

    /// Starts a home that tells the gateway the load of all endpoints, with the starts in `reportedStarts`.
    void startHome()
    {
        home.handle(kLoadPath, [this](const MessageStreamPointer &stream) {
            stream->start(
                [this, stream](const std::string &frame) {
                    answer(stream, frame);
                },
                [](const absl::Status &) {});
        });
        ASSERT_TRUE(home.listen("127.0.0.1", 0).ok());
        homeWorkers.start();
        FleetSettings settings;
        settings.instance = "home-1";
        settings.zone = "a";
        settings.peerListen = {"127.0.0.1", home.port()};
        onTestServers([&] {
            putObject("gateways", "home-1", Json::parse(writePeerEntry(peerOf(settings, PeerKind::Home))));
        });
    }

    void answer(const MessageStreamPointer &stream, const std::string &frame)
    {
        const auto message = parseLoadFrame(frame);
        if (!message.ok() || !message->has_gateway()) {
            return;
        }
        wire::LoadMessage news;
        for (int n = 0; n < kEndpoints; ++n) {
            EndpointLoadReport report;
            report.address = addressOf(n);
            report.startedAtMilliseconds = reportedStarts[n];
            *news.mutable_news()->add_endpoints() = endpointLoadToWire(report);
        }
        stream->send(news.SerializeAsString());
        ++reports;
    }

    /// Until the gateway has read a report that was sent after this call.
    void awaitReport()
    {
        constexpr int kReports = 2;
        const int before = reports;
        waitUntil([&] {
            std::this_thread::sleep_for(10ms);
            return reports >= before + kReports;
        });
        std::this_thread::sleep_for(50ms);
    }

    std::deque<ReplicaServer> servers;
    std::map<int, ReplicaServer *> current;
    std::map<int, std::uint16_t> ports;
    std::array<std::atomic<std::int64_t>, kEndpoints> reportedStarts;
    std::atomic<int> reports = 0;
    WorkerPool homeWorkers;
    Http2MessageServer home;

private:
    int m_calls = 0;
};

// Guards against streams that go on at an endpoint by the version of an entry whose incarnation was seen to end.
TEST_F(RestartedEndpointsTest, endpointSeenToEnd_entryUnchanged_noStreamGoesOnThere)
{
    startGateway();
    crashUnderRun(0);
    launch(0, "v2");
    list(1, "v1", kFirstStart);
    waitUntilServing(0);
    breakOffAt(1);
    EXPECT_EQ(mixedIn(sendStreams()), 0);
}

// Guards against an endpoint that takes connections again before the gateway finds them refused, and is not asked when
// it started.
TEST_F(RestartedEndpointsTest, runsBreakOffTogether_endpointAcceptsAgainAtOnce_noStreamGoesOnThere)
{
    startGateway();
    std::vector<std::thread> callers;
    for (const std::string id : {"together-1", "together-2", "together-3"}) {
        callers.emplace_back([this, id] {
            (void)call(streamRequest("/once/1", id, kManyEvents * 7));
        });
        waitUntilRunning(0, id);
    }
    crash(0);
    launch(0, "v2");
    for (std::thread &it : callers) {
        it.join();
    }
    std::this_thread::sleep_for(kAway);
    list(1, "v1", kFirstStart);
    waitUntilServing(0);
    breakOffAt(1);
    EXPECT_EQ(mixedIn(sendStreams()), 0);
}

// Guards against a gateway that sees nothing of the restart itself, and ignores the new start that a home reports.
TEST_F(RestartedEndpointsTest, homeReportsNewStart_entryUnchanged_noStreamGoesOnThere)
{
    startHome();
    startGateway();
    awaitReport();
    crash(0);
    launch(0, "v2");
    reportedStarts[0] = kSecondStart;
    awaitReport();
    list(1, "v1", kFirstStart);
    waitUntilServing(1);
    breakOffAt(1);
    EXPECT_EQ(mixedIn(sendStreams()), 0);
}

// Guards against a gateway without runs at the endpoint and without a home, which knows nothing but the entry.
TEST_F(RestartedEndpointsTest, nobodyReportsRestart_entryUnchanged_noStreamGoesOnThere)
{
    startGateway();
    crash(0);
    launch(0, "v2");
    list(1, "v1", kFirstStart);
    waitUntilServing(1);
    breakOffAt(1);
    EXPECT_EQ(mixedIn(sendStreams()), 0);
}

// Guards against the same where the clock of the endpoint's machine was set back.
TEST_F(RestartedEndpointsTest, nobodyReportsRestart_newStartIsEarlier_noStreamGoesOnThere)
{
    startGateway();
    crash(0);
    launch(0, "v2", kFirstStart - 1);
    list(1, "v1", kFirstStart);
    waitUntilServing(1);
    breakOffAt(1);
    EXPECT_EQ(mixedIn(sendStreams()), 0);
}

// Guards against streams that begin at an endpoint before its restart is known, and go on at the version of its entry.
TEST_F(RestartedEndpointsTest, streamBegunBeforeRestartIsKnown_breaksOff_isNotContinuedByTheEntry)
{
    startHome();
    startGateway();
    awaitReport();
    crash(0);
    launch(0, "v2");
    absl::StatusOr<HttpResponse> response = HttpResponse();
    std::thread caller([&] {
        response = call(streamRequest("/resumable/a", "early", kManyEvents * 7));
    });
    waitUntilRunning(0, "early");
    list(1, "v1", kFirstStart);
    waitUntilServing(1);
    reportedStarts[0] = kSecondStart;
    awaitReport();
    crash(0);
    caller.join();
    EXPECT_EQ(failureCode(response.status()), FailureCode::ConnectionLost) << response.status();
}
