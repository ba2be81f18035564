#include "base/failure.h"
#include "serving/loadcollector.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <map>
#include <set>

using namespace RadishSwitch;
using namespace std::chrono_literals;

class LoadCollectorTest : public testing::Test
{
protected:
    static EndpointLoadReport endpoint(const std::string &address)
    {
        EndpointLoadReport report;
        report.address = address;
        report.startedAtMilliseconds = 1'700'000'000'000;
        report.running = 20;
        report.eventInterval = 40ms;
        report.idleEventInterval = 30ms;
        report.longestPause = 100ms;
        report.memoryShare = 0.5;
        return report;
    }

    static GatewayLoadReport gateway(const std::string &name, const std::string &zone)
    {
        GatewayLoadReport report;
        report.gateway = name;
        report.zone = zone;
        report.fullness = 0.5;
        report.linkMbps = 50;
        return report;
    }

    static std::string address(int n)
    {
        return "10.0.12." + std::to_string(n) + ":8000";
    }

    void addEndpoints(int count)
    {
        for (int n = 0; n < count; ++n) {
            EXPECT_TRUE(collector.addEndpoint(endpoint(address(n)), now).ok());
        }
    }

    /// One tick of the service.
    LoadCollector::News take()
    {
        collector.dropStale(now);
        return collector.takeNews(subscriber, now);
    }

    std::size_t endpointsTaken()
    {
        return take().endpoints.size();
    }

    Instant now{std::chrono::hours(1)};
    LoadCollector collector;
    LoadCollector::SubscriberId subscriber = collector.subscribe("a");
};

TEST_F(LoadCollectorTest, newSubscriber_isSentAllOnceAndAgainAfterTwoSeconds)
{
    addEndpoints(3);
    EXPECT_EQ(endpointsTaken(), 3U);
    for (int n = 0; n < 3; ++n) {
        now += 500ms;
        addEndpoints(3);
        EXPECT_EQ(endpointsTaken(), 0U);
    }
    now += 500ms;
    addEndpoints(3);
    EXPECT_EQ(endpointsTaken(), 3U);
}

// Guards against updates for each flicker of a value, which would use up a gateway's narrow link.
TEST_F(LoadCollectorTest, smallChange_isNotSent)
{
    EndpointLoadReport report = endpoint("e");
    ASSERT_TRUE(collector.addEndpoint(report, now).ok());
    EXPECT_EQ(endpointsTaken(), 1U);
    now += 500ms;
    report.running = 21;
    report.eventInterval = 44ms;
    report.longestPause = 109ms;
    report.memoryShare = 0.54;
    ASSERT_TRUE(collector.addEndpoint(report, now).ok());
    EXPECT_EQ(endpointsTaken(), 0U);
}

// Guards against a change that is told two seconds late, and against changes that add up in steps too small to be told.
TEST_F(LoadCollectorTest, change_inOneStepOrSeveral_isSentAtOnce)
{
    EndpointLoadReport report = endpoint("e");
    ASSERT_TRUE(collector.addEndpoint(report, now).ok());
    EXPECT_EQ(endpointsTaken(), 1U);
    now += 500ms;
    report.eventInterval = 46ms;
    ASSERT_TRUE(collector.addEndpoint(report, now).ok());
    EXPECT_EQ(endpointsTaken(), 1U);
    now += 500ms;
    report.running = 22;
    ASSERT_TRUE(collector.addEndpoint(report, now).ok());
    EXPECT_EQ(endpointsTaken(), 0U);
    now += 500ms;
    report.running = 23;
    ASSERT_TRUE(collector.addEndpoint(report, now).ok());
    EXPECT_EQ(endpointsTaken(), 1U);
    now += 500ms;
    report.startedAtMilliseconds += 5'000;
    ASSERT_TRUE(collector.addEndpoint(report, now).ok());
    EXPECT_EQ(endpointsTaken(), 1U);
}

// Guards against messages that grow with the fleet, and against endpoints that are never told of in a large one.
TEST_F(LoadCollectorTest, manyEndpoints_messageIsBoundedAndAllHaveTheirTurn)
{
    LoadCollectorSettings settings;
    settings.maximumBytes = 1'000'000;
    collector = LoadCollector(settings);
    subscriber = collector.subscribe("a");
    std::set<std::string> told;
    for (int n = 0; n < 4; ++n) {
        addEndpoints(150);
        const LoadCollector::News news = take();
        EXPECT_LE(news.endpoints.size(), 48U);
        for (const EndpointLoadReport &it : news.endpoints) {
            EXPECT_TRUE(told.insert(it.address).second) << "sent twice before all were sent";
        }
        now += 500ms;
    }
    EXPECT_EQ(told.size(), 150U);
}

// 4 KB/s of a gateway's link are all that load updates may use, also at 300 instances. Guards against slow links that
// are filled by updates.
TEST_F(LoadCollectorTest, manyInstances_messagesStayWithinBytesAndAllGatewaysHaveTheirTurn)
{
    std::map<std::string, int> toldGateways;
    std::set<std::string> toldEndpoints;
    constexpr int kMessages = 12;
    for (int n = 0; n < kMessages; ++n) {
        addEndpoints(180);
        for (int g = 0; g < 60; ++g) {
            const std::string name = "gateway-of-zone-a-" + std::to_string(g);
            ASSERT_TRUE(collector.addGateway(gateway(name, "a"), now).ok());
        }
        const LoadCollector::News news = take();
        std::size_t bytes = 0;
        for (const EndpointLoadReport &it : news.endpoints) {
            toldEndpoints.insert(it.address);
            bytes += it.address.size() + 38;
        }
        for (const GatewayLoadReport &it : news.gateways) {
            ++toldGateways[it.gateway];
            bytes += it.gateway.size() + it.zone.size() + 18;
        }
        EXPECT_LE(bytes, 2'000U);
        now += 500ms;
    }
    EXPECT_EQ(toldGateways.size(), 60U);
    EXPECT_EQ(toldEndpoints.size(), 180U);
}

// Guards against the load of an endpoint that is gone, which would be believed for ever.
TEST_F(LoadCollectorTest, silentEndpoint_isDroppedAfterThreeSeconds)
{
    addEndpoints(2);
    EXPECT_EQ(endpointsTaken(), 2U);
    now += 2'000ms;
    EXPECT_TRUE(collector.addEndpoint(endpoint(address(0)), now).ok());
    EXPECT_EQ(endpointsTaken(), 2U);
    now += 1'000ms;
    EXPECT_EQ(endpointsTaken(), 0U);
    EXPECT_EQ(collector.endpointCount(), 1U);
    // One that comes back is new to the subscriber.
    EXPECT_TRUE(collector.addEndpoint(endpoint(address(1)), now).ok());
    const LoadCollector::News news = take();
    ASSERT_EQ(news.endpoints.size(), 1U);
    EXPECT_EQ(news.endpoints[0].address, address(1));
}

TEST_F(LoadCollectorTest, news_tellsAgeAtSending)
{
    EndpointLoadReport report = endpoint("e");
    report.age = 120ms;
    ASSERT_TRUE(collector.addEndpoint(report, now).ok());
    now += 300ms;
    const LoadCollector::News news = take();
    ASSERT_EQ(news.endpoints.size(), 1U);
    EXPECT_EQ(news.endpoints[0].age, 420ms);
}

// Guards against a report that came over a second stream, or twice, and undoes a later one.
TEST_F(LoadCollectorTest, lateOrDuplicateReport_changesNothing)
{
    EndpointLoadReport recent = endpoint("e");
    recent.running = 30;
    ASSERT_TRUE(collector.addEndpoint(recent, now).ok());
    EndpointLoadReport late = endpoint("e");
    late.running = 1;
    late.age = 400ms;
    now += 100ms;
    EXPECT_TRUE(collector.addEndpoint(late, now).ok());
    recent.age = 100ms;
    EXPECT_TRUE(collector.addEndpoint(recent, now).ok());
    LoadCollector::News news = take();
    ASSERT_EQ(news.endpoints.size(), 1U);
    EXPECT_EQ(news.endpoints[0].running, 30);
    EXPECT_EQ(news.endpoints[0].age, 100ms);
    // Of an earlier incarnation, though it claims to be new.
    late.startedAtMilliseconds -= 60'000;
    late.age = 0ms;
    now += 2s;
    EXPECT_TRUE(collector.addEndpoint(late, now).ok());
    news = take();
    ASSERT_EQ(news.endpoints.size(), 1U);
    EXPECT_EQ(news.endpoints[0].running, 30);
}

// Guards against updates about gateways of other zones, and against a zone's gateways that are told of rarely.
TEST_F(LoadCollectorTest, gateways_ofTheZone_areSentEachTime)
{
    for (int n = 0; n < 4; ++n) {
        ASSERT_TRUE(collector.addGateway(gateway("g-1", "a"), now).ok());
        ASSERT_TRUE(collector.addGateway(gateway("g-2", "a"), now).ok());
        ASSERT_TRUE(collector.addGateway(gateway("g-3", "b"), now).ok());
        const LoadCollector::News news = take();
        ASSERT_EQ(news.gateways.size(), 2U);
        EXPECT_EQ(news.gateways[0].zone, "a");
        EXPECT_EQ(news.gateways[1].zone, "a");
        now += 500ms;
    }
    now += 3s;
    EXPECT_TRUE(take().gateways.empty());
}

TEST_F(LoadCollectorTest, subscribers_haveTheirOwnTurns)
{
    addEndpoints(2);
    EXPECT_EQ(endpointsTaken(), 2U);
    const LoadCollector::SubscriberId other = collector.subscribe("b");
    EXPECT_EQ(collector.takeNews(other, now).endpoints.size(), 2U);
    EXPECT_EQ(collector.subscriberCount(), 2U);
    collector.unsubscribe(other);
    EXPECT_EQ(collector.subscriberCount(), 1U);
    EXPECT_EQ(collector.takeNews(other, now), LoadCollector::News());
}

// Guards against reports that can't be true and would attract or repel the whole fleet's load.
TEST_F(LoadCollectorTest, impossibleReport_failsAndChangesNothing)
{
    std::vector<EndpointLoadReport> impossible(7, endpoint("e"));
    impossible[0].address.clear();
    impossible[1].startedAtMilliseconds = 0;
    impossible[2].running = -1;
    impossible[3].eventInterval = -1ms;
    impossible[4].expectedWait = 24h;
    impossible[5].memoryShare = std::nan("");
    impossible[6].age = -1s;
    for (const EndpointLoadReport &it : impossible) {
        EXPECT_EQ(failureCode(collector.addEndpoint(it, now)), FailureCode::MalformedMessage);
    }
    std::vector<GatewayLoadReport> impossibleGateways(4, gateway("g", "a"));
    impossibleGateways[0].gateway.clear();
    impossibleGateways[1].fullness = std::numeric_limits<double>::infinity();
    impossibleGateways[2].linkMbps = -1;
    impossibleGateways[3].zone = std::string(1'000, 'z');
    for (const GatewayLoadReport &it : impossibleGateways) {
        EXPECT_EQ(failureCode(collector.addGateway(it, now)), FailureCode::MalformedMessage);
    }
    EXPECT_EQ(collector.endpointCount(), 0U);
    EXPECT_EQ(collector.gatewayCount(), 0U);
}

// Guards against a sender with ever new names, which would use up the collector's memory.
TEST_F(LoadCollectorTest, tooManyEntries_furtherOnesFail)
{
    LoadCollectorSettings settings;
    settings.maximumEntries = 3;
    collector = LoadCollector(settings);
    addEndpoints(3);
    EXPECT_EQ(failureCode(collector.addEndpoint(endpoint("more"), now)), FailureCode::Overloaded);
    EXPECT_TRUE(collector.addEndpoint(endpoint(address(0)), now).ok());
    EXPECT_EQ(collector.endpointCount(), 3U);
}
