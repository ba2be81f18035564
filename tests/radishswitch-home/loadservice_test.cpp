#include "fakeloadstreams.h"
#include "loadservice.h"
#include "loadwire.h"
#include "manualtaskqueue.h"
#include "virtualtimerservice.h"
#include "wireconversion.h"

#include <gtest/gtest.h>

#include <limits>

using namespace RadishSwitch;
using namespace std::chrono_literals;

class LoadServiceTest : public testing::Test
{
protected:
    /// The other end of a stream to the service.
    struct Peer {
        std::shared_ptr<FakeLoadStream> stream;
        std::shared_ptr<FakeLoadStream> far;
        std::vector<wire::LoadNews> news;
        bool isClosed = false;
    };

    std::shared_ptr<Peer> connect()
    {
        auto peer = std::make_shared<Peer>();
        peer->stream = std::make_shared<FakeLoadStream>(tasks);
        peer->far = std::make_shared<FakeLoadStream>(tasks);
        FakeLoadStream::connect(peer->stream, peer->far);
        peer->stream->start(
            [peer = peer.get()](const std::string &frame) {
                const absl::StatusOr<wire::LoadMessage> message = parseFrame<wire::LoadMessage>(frame);
                ASSERT_TRUE(message.ok());
                ASSERT_TRUE(message->has_news());
                peer->news.push_back(message->news());
            },
            [peer = peer.get()](const absl::Status &) {
                peer->isClosed = true;
            });
        service.serve(peer->far);
        return peer;
    }

    static EndpointLoadReport endpoint()
    {
        EndpointLoadReport report;
        report.address = "10.0.0.1:8000";
        report.startedAtMilliseconds = 1'700'000'000'000;
        report.running = 4;
        report.eventInterval = 40ms;
        report.memoryShare = 0.25;
        return report;
    }

    static void sendEndpoint(Peer &peer, const EndpointLoadReport &report = endpoint())
    {
        wire::LoadMessage message;
        *message.mutable_endpoint() = endpointLoadToWire(report);
        peer.stream->send(message.SerializeAsString());
    }

    static void sendGateway(Peer &peer, const std::string &name, const std::string &zone = "a")
    {
        GatewayLoadReport report;
        report.gateway = name;
        report.zone = zone;
        report.fullness = 0.5;
        wire::LoadMessage message;
        *message.mutable_gateway() = gatewayLoadToWire(report);
        peer.stream->send(message.SerializeAsString());
    }

    void runFor(Duration span)
    {
        constexpr Duration kStep = 5ms;
        for (Duration done{}; done < span; done += kStep) {
            tasks.runAll();
            timers.advance(kStep);
        }
        tasks.runAll();
    }

    std::uint64_t rejected()
    {
        return metrics.counter("radishswitch_load_reports_rejected_total", "").value();
    }

    ManualTaskQueue tasks;
    VirtualTimerService timers;
    Metrics metrics;
    LoadCollector collector;
    LoadService service{collector, timers, metrics};
};

TEST_F(LoadServiceTest, gateway_isSentEndpointsAndItself)
{
    const auto home = connect();
    const auto gateway = connect();
    sendEndpoint(*home);
    sendGateway(*gateway, "g-1");
    runFor(600ms);
    ASSERT_EQ(gateway->news.size(), 1U);
    const LoadCollector::News news = loadNewsFromWire(gateway->news[0]);
    ASSERT_EQ(news.endpoints.size(), 1U);
    EXPECT_EQ(news.endpoints[0].address, endpoint().address);
    EXPECT_EQ(news.endpoints[0].eventInterval, 40ms);
    EXPECT_DOUBLE_EQ(news.endpoints[0].memoryShare, 0.25);
    EXPECT_GE(news.endpoints[0].age, 490ms);
    ASSERT_EQ(news.gateways.size(), 1U);
    EXPECT_EQ(news.gateways[0].gateway, "g-1");
}

// Guards against homes that are sent updates, and homes that can't tell whether this process takes reports.
TEST_F(LoadServiceTest, home_isAnsweredOnceWithAnEmptyUpdate)
{
    const auto home = connect();
    for (int n = 0; n < 8; ++n) {
        sendEndpoint(*home);
        runFor(250ms);
    }
    ASSERT_EQ(home->news.size(), 1U);
    EXPECT_TRUE(home->news[0].endpoints().empty());
    EXPECT_EQ(collector.subscriberCount(), 0U);
}

// Guards against load updates that fill a narrow link: 4 KB/s is the bound, with any number of endpoints and gateways.
TEST_F(LoadServiceTest, manyInstances_messageStaysUnderTwoKilobytes)
{
    const auto home = connect();
    const auto gateway = connect();
    for (int n = 0; n < 200; ++n) {
        EndpointLoadReport report = endpoint();
        report.address = "10.112.113." + std::to_string(n) + ":18000";
        report.running = 64;
        report.waiting = 200;
        report.eventInterval = 400ms;
        report.idleEventInterval = 300ms;
        report.longestPause = 1'900ms;
        report.expectedWait = 60s;
        report.memoryShare = 0.99;
        sendEndpoint(*home, report);
        sendGateway(*gateway, "i-79ad3ab14e-" + std::to_string(n), "zone-a");
    }
    runFor(600ms);
    ASSERT_FALSE(gateway->news.empty());
    EXPECT_GT(gateway->news[0].endpoints_size(), 10);
    EXPECT_GT(gateway->news[0].gateways_size(), 10);
    EXPECT_LE(gateway->far->sent[0].size(), 2'000U);
}

// Gateways tell by a silence of 1.5 s that a collector is lost. Guards against silence when nothing has changed.
TEST_F(LoadServiceTest, gateway_isSentSomethingEveryHalfSecond)
{
    const auto gateway = connect();
    for (int n = 0; n < 10; ++n) {
        sendGateway(*gateway, "g-1");
        runFor(500ms);
    }
    EXPECT_GE(gateway->news.size(), 9U);
}

TEST_F(LoadServiceTest, closedStream_endsSubscription)
{
    const auto gateway = connect();
    sendGateway(*gateway, "g-1");
    runFor(100ms);
    EXPECT_EQ(collector.subscriberCount(), 1U);
    gateway->stream->cancel();
    runFor(100ms);
    EXPECT_EQ(collector.subscriberCount(), 0U);
}

// Updates still reach the gateway while its reports are lost. Guards against a gateway that is gone and sent updates
// for ever.
TEST_F(LoadServiceTest, gatewayNotHeard_isGivenUpAfterTenSeconds)
{
    const auto gateway = connect();
    sendGateway(*gateway, "g-1");
    gateway->stream->losesSent = true;
    runFor(9s);
    EXPECT_FALSE(gateway->isClosed);
    EXPECT_TRUE(gateway->news.back().gateways().empty());
    runFor(2s);
    EXPECT_TRUE(gateway->isClosed);
    EXPECT_EQ(collector.subscriberCount(), 0U);
}

// Guards against updates that pile up in memory for a gateway that does not read.
TEST_F(LoadServiceTest, gatewayThatDoesNotRead_isSentNothing)
{
    const auto gateway = connect();
    sendGateway(*gateway, "g-1");
    gateway->far->queued = 100'000;
    runFor(3s);
    EXPECT_TRUE(gateway->news.empty());
    gateway->far->queued = 0;
    runFor(600ms);
    EXPECT_FALSE(gateway->news.empty());
}

// Guards against one sender with unreadable bytes that takes the others' streams with it.
TEST_F(LoadServiceTest, unreadableMessage_closesOnlyItsStream)
{
    const auto gateway = connect();
    const auto stranger = connect();
    sendGateway(*gateway, "g-1");
    stranger->stream->send("\xff\xff\xff no message");
    runFor(1s);
    EXPECT_TRUE(stranger->isClosed);
    EXPECT_FALSE(gateway->isClosed);
    EXPECT_FALSE(gateway->news.empty());
    EXPECT_EQ(rejected(), 1U);
}

// Guards against impossible values on the wire, which must not change what is known or overflow.
TEST_F(LoadServiceTest, impossibleReport_isRejected)
{
    const auto home = connect();
    wire::LoadMessage message;
    *message.mutable_endpoint() = endpointLoadToWire(endpoint());
    message.mutable_endpoint()->set_event_interval_us(std::numeric_limits<std::uint64_t>::max());
    home->stream->send(message.SerializeAsString());
    *message.mutable_endpoint() = endpointLoadToWire(endpoint());
    message.mutable_endpoint()->set_memory_permille(std::numeric_limits<std::uint32_t>::max());
    home->stream->send(message.SerializeAsString());
    *message.mutable_endpoint() = endpointLoadToWire(endpoint());
    message.mutable_endpoint()->set_started_at_ms(-1);
    home->stream->send(message.SerializeAsString());
    runFor(100ms);
    EXPECT_EQ(rejected(), 3U);
    EXPECT_EQ(collector.endpointCount(), 0U);
    EXPECT_FALSE(home->isClosed);
}

// Guards against a newer version whose messages this one doesn't know: they are ignored.
TEST_F(LoadServiceTest, unknownMessage_isIgnored)
{
    const auto home = connect();
    home->stream->send(std::string("\x7a\x01x", 3));
    sendEndpoint(*home);
    runFor(100ms);
    EXPECT_FALSE(home->isClosed);
    EXPECT_EQ(rejected(), 0U);
    EXPECT_EQ(collector.endpointCount(), 1U);
}
