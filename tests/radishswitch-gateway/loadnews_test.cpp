#include "fleetparts.h"
#include "gatewayfixture.h"
#include "loadwire.h"
#include "peerentry.h"

#include <atomic>
#include <thread>

using namespace std::chrono_literals;

/// A gateway with load updates, and a home that is played by a server of this test.
class LoadNewsTest : public GatewayFixture
{
protected:
    using MessageStreamPointer = RadishSwitch::MessageStreamPointer;

    LoadNewsTest()
        : collectorWorkers(1)
        , collector(collectorWorkers, RadishSwitch::transportSettings(RadishSwitch::FleetSettings()))
    {
    }

    ~LoadNewsTest() override
    {
        otherGateway.reset();
        gateway.reset();
        collectorWorkers.stop();
    }

    RadishSwitch::GatewaySettings gatewaySettings() override
    {
        RadishSwitch::GatewaySettings settings = GatewayFixture::gatewaySettings();
        settings.receivesLoadNews = true;
        return settings;
    }

    /// Starts the home. It answers each report of a gateway with the load of the first endpoint, unless `isMute`.
    void startHome(bool knowsLoad = true)
    {
        if (knowsLoad) {
            collector.handle(RadishSwitch::kLoadPath, [this](const MessageStreamPointer &stream) {
                ++streams;
                stream->start(
                    [this, stream](const std::string &frame) {
                        answer(stream, frame);
                    },
                    [](const absl::Status &) {});
            });
        } else {
            collector.handle("/other", [](const MessageStreamPointer &) {});
        }
        EXPECT_TRUE(collector.listen("127.0.0.1", 0).ok());
        collectorWorkers.start();
        RadishSwitch::FleetSettings home;
        home.instance = "home-1";
        home.zone = "a";
        home.peerListen = {"127.0.0.1", collector.port()};
        const std::string entry =
            RadishSwitch::writePeerEntry(RadishSwitch::peerOf(home, RadishSwitch::PeerKind::Home));
        onTestServers([&] {
            putObject("gateways", "home-1", Json::parse(entry));
        });
    }

    void answer(const MessageStreamPointer &stream, const std::string &frame)
    {
        const auto message = RadishSwitch::parseLoadFrame(frame);
        if (!message.ok() || !message->has_gateway() || isMute) {
            return;
        }
        ++reports;
        RadishSwitch::EndpointLoadReport report;
        report.address = "127.0.0.1:" + std::to_string(first.port());
        report.startedAtMilliseconds = 1000;
        report.idleEventInterval = 10ms;
        report.age = 100ms;
        RadishSwitch::wire::LoadMessage news;
        *news.mutable_news()->add_endpoints() = RadishSwitch::endpointLoadToWire(report);
        stream->send(news.SerializeAsString());
    }

    std::string metricsText()
    {
        HttpRequest request;
        request.target = "/metrics";
        const auto response = fetchFrom(gateway->adminPort(), request);
        return response.ok() ? response->body : std::string();
    }

    bool metricsContain(const std::string &line)
    {
        return metricsText().find(line + "\n") != std::string::npos;
    }

    std::atomic<bool> isMute = false;
    std::atomic<int> streams = 0;
    std::atomic<int> reports = 0;
    RadishSwitch::WorkerPool collectorWorkers;
    RadishSwitch::Http2MessageServer collector;
};

// Guards against parts that work alone and are not wired together.
TEST_F(LoadNewsTest, homeWithNews_gatewayKnowsLoadOfEndpoint)
{
    startHome();
    start();
    waitUntil([this] {
        return metricsContain("radishswitch_endpoint_news_known 1");
    });
    EXPECT_TRUE(metricsContain("radishswitch_pool_is_uneven{pool=\"llm\"} 0"));
    EXPECT_EQ(call(request("/safe/1", "a"))->status, 200);
}

// Guards against a gateway that gets no load updates any more after a restart.
TEST_F(LoadNewsTest, gatewayRestarted_knowsLoadAgain)
{
    startHome();
    start();
    waitUntil([this] {
        return metricsContain("radishswitch_endpoint_news_known 1");
    });
    start();
    waitUntil([this] {
        return metricsContain("radishswitch_endpoint_news_known 1");
    });
    EXPECT_GE(streams, 2);
}

// Guards against the loss of a collector that answers at the level of the connection but sends nothing.
TEST_F(LoadNewsTest, collectorSilent_streamIsOpenedAnew)
{
    startHome();
    start();
    waitUntil([this] {
        return reports > 0;
    });
    isMute = true;
    const int before = streams;
    waitUntil([&] {
        return streams > before;
    });
    isMute = false;
    const int reportsBefore = reports;
    waitUntil([&] {
        return reports > reportsBefore;
    });
}

// Guards against a home of an older version, which knows no such path, being asked all the time or taken for lost.
TEST_F(LoadNewsTest, olderHome_gatewayServesWithoutNews)
{
    startHome(false);
    start();
    std::this_thread::sleep_for(1s);
    EXPECT_EQ(call(request("/safe/1", "a"))->status, 200);
    EXPECT_TRUE(metricsContain("radishswitch_endpoint_news_known 0"));
    EXPECT_TRUE(metricsContain("radishswitch_load_news_rejected_total 0"));
}

/// The same with the part switched off.
class NoLoadNewsTest : public LoadNewsTest
{
protected:
    RadishSwitch::GatewaySettings gatewaySettings() override
    {
        return GatewayFixture::gatewaySettings();
    }
};

// Guards against load updates that are on by default.
TEST_F(NoLoadNewsTest, homeWithNews_isNotAsked)
{
    startHome();
    start();
    EXPECT_EQ(call(request("/safe/1", "a"))->status, 200);
    std::this_thread::sleep_for(1s);
    EXPECT_EQ(streams, 0);
    EXPECT_EQ(metricsText().find("endpoint_news"), std::string::npos);
    EXPECT_EQ(metricsText().find("load_news"), std::string::npos);
}
