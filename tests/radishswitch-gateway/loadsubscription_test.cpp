#include "loadsubscription.h"

#include "fakecollectors.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;
using namespace std::chrono_literals;

/// A gateway with three homes in its zone, in virtual time.
class LoadSubscriptionTest : public testing::Test
{
protected:
    LoadSubscriptionTest()
    {
        timers.advance(1h);
        homes.setOwnPeer({"10.1.0.1:1", 1, "north", PeerKind::Gateway});
        for (int n = 0; n < 4; ++n) {
            EndpointListing listing;
            listing.id = EndpointId("e" + std::to_string(n));
            listing.pool = PoolId("llm");
            listing.address = endpointAddress(n);
            listing.startedAtMilliseconds = 1000;
            registry.list(listing, timers.now());
        }
    }

    static std::string endpointAddress(int n)
    {
        return "10.3.0." + std::to_string(n) + ":80";
    }

    static std::string homeAddress(int n)
    {
        return "10.2.0." + std::to_string(n) + ":1";
    }

    void listHomes(int count)
    {
        std::map<std::string, FleetPeer> peers;
        for (int n = 0; n < count; ++n) {
            peers["home-" + std::to_string(n)] = {homeAddress(n), 1, "north", PeerKind::Home};
        }
        homes.setPeers(peers);
    }

    static wire::LoadMessage news(int endpoints = 4, std::int64_t startedAt = 1000)
    {
        wire::LoadMessage message;
        message.mutable_news();
        for (int n = 0; n < endpoints; ++n) {
            EndpointLoadReport report;
            report.address = endpointAddress(n);
            report.startedAtMilliseconds = startedAt;
            report.running = 5;
            report.idleEventInterval = n == 0 ? 24ms : 10ms;
            *message.mutable_news()->add_endpoints() = endpointLoadToWire(report);
        }
        *message.mutable_news()->add_gateways() = gatewayLoadToWire({"neighbour", "north", 0.9, 10, true, 100ms});
        return message;
    }

    FakeLoadStream &last()
    {
        return *collectors.opened.back();
    }

    /// Lets time pass in which the collectors in `dead` say nothing and the other ones send updates every 500 ms.
    void run(Duration span, const std::vector<std::string> &dead = {}, int endpoints = 4)
    {
        for (Duration passed{}; passed < span; passed += 50ms) {
            timers.advance(50ms);
            collectors.closeRefused();
            const bool isSending = (timers.now().time_since_epoch() % 500ms).count() == 0;
            if (isSending && !collectors.opened.empty() && !last().isCancelled
                && std::ranges::find(dead, last().address) == dead.end()
                && !collectors.refusals.contains(last().address)) {
                last().deliver(news(endpoints));
            }
        }
    }

    std::uint64_t rejected()
    {
        return metrics.counter("radishswitch_load_news_rejected_total", "").value();
    }

    std::string firstHomeAddress() const
    {
        return homes.addressOf(homes.nearestHome(timers.now()));
    }

    VirtualTimerService timers;
    HomeDirectory homes{"gateway"};
    FakeCollectors collectors;
    Metrics metrics;
    EndpointRegistry registry;
    EndpointLoads endpoints{registry};
    GatewayLoads gateways{"gateway", "north"};
    double fullness = 0.25;
    bool isDiverting = false;
    LoadSubscriptionSettings settings{"gateway", "north", 40};
    LoadSubscription subscription{collectors,
                                  homes,
                                  timers,
                                  metrics,
                                  endpoints,
                                  gateways,
                                  settings,
                                  [this] {
                                      return fullness;
                                  },
                                  [this] {
                                      return isDiverting;
                                  }};
};

TEST_F(LoadSubscriptionTest, start_reportsOwnLoadEveryHalfSecondAndTakesInNews)
{
    listHomes(3);
    subscription.start();
    ASSERT_EQ(collectors.opened.size(), 1U);
    EXPECT_EQ(last().address, firstHomeAddress());
    last().deliver(news());
    EXPECT_EQ(endpoints.knownCount(), 4U);
    EXPECT_NEAR(endpoints.estimate(0, timers.now())->relativeSpeed, 1 / 2.4, 1e-3);
    ASSERT_EQ(gateways.neighbours(timers.now()).size(), 1U);
    EXPECT_EQ(gateways.neighbours(timers.now())[0], (GatewayLoadReport{"neighbour", "north", 0.9, 10, true, 100ms}));
    isDiverting = true;
    fullness = 1.2;
    run(2s);
    ASSERT_EQ(collectors.opened.size(), 1U);
    ASSERT_EQ(last().sent.size(), 5U);
    const auto first = gatewayLoadFromWire(parseLoadFrame(last().sent[0])->gateway());
    EXPECT_EQ(first, (GatewayLoadReport{"gateway", "north", 0.25, 40, false, 0ms}));
    const auto second = gatewayLoadFromWire(parseLoadFrame(last().sent[1])->gateway());
    EXPECT_EQ(second, (GatewayLoadReport{"gateway", "north", 1.2, 40, true, 0ms}));
    EXPECT_EQ(rejected(), 0U);
}

// Guards against a busy loop, and against a gateway that never looks again, while no home is known.
TEST_F(LoadSubscriptionTest, noHome_waitsAndFindsALaterOne)
{
    subscription.start();
    const std::size_t timersAtStart = timers.pending();
    run(10s);
    EXPECT_TRUE(collectors.opened.empty());
    EXPECT_LE(timers.pending(), timersAtStart);
    listHomes(1);
    run(500ms);
    EXPECT_EQ(collectors.opened.size(), 1U);
}

// Guards against a collector that is frozen or cut off without a closed connection.
TEST_F(LoadSubscriptionTest, collectorSilent_failsOverAfterSilence)
{
    listHomes(3);
    subscription.start();
    const std::string first = last().address;
    run(3s);
    ASSERT_EQ(collectors.opened.size(), 1U);
    run(1400ms, {first});
    EXPECT_EQ(collectors.opened.size(), 1U);
    run(600ms, {first});
    ASSERT_EQ(collectors.opened.size(), 2U);
    EXPECT_TRUE(collectors.opened[0]->isCancelled);
    EXPECT_NE(last().address, first);
    EXPECT_FALSE(last().isCancelled);
}

// Guards against an old collector whose late messages are taken in after the failover, and keep the new one from being
// found silent.
TEST_F(LoadSubscriptionTest, lateMessageOfLostCollector_isIgnored)
{
    listHomes(2);
    subscription.start();
    const FakeCollectors::StreamPointer old = collectors.opened[0];
    run(1600ms, {homeAddress(0), homeAddress(1)});
    ASSERT_EQ(collectors.opened.size(), 2U);
    old->deliver(news());
    EXPECT_EQ(endpoints.knownCount(), 0U);
    old->close(makeFailure(FailureCode::ConnectionLost, "closed late"));
    EXPECT_EQ(collectors.opened.size(), 2U);
}

// Guards against seconds without load updates after a home was killed.
TEST_F(LoadSubscriptionTest, collectorKilled_nextOneIsUsedAtOnce)
{
    listHomes(3);
    subscription.start();
    const std::string first = last().address;
    run(3s);
    last().close(withUnknownOutcome(makeFailure(FailureCode::ConnectionLost, "reset")));
    ASSERT_EQ(collectors.opened.size(), 2U);
    EXPECT_NE(last().address, first);
    EXPECT_NE(firstHomeAddress(), first);
    // The killed home is back, and ranked first again: the gateway moves to it later.
    collectors.refusals[first] = makeFailure(FailureCode::ConnectionLost, "refused");
    run(5s);
    EXPECT_EQ(collectors.opened.size(), 2U);
    collectors.refusals.clear();
    run(12s);
    ASSERT_EQ(collectors.opened.size(), 3U);
    EXPECT_EQ(last().address, first);
}

// Guards against gateways that stay at a collector to which no home sends.
TEST_F(LoadSubscriptionTest, collectorWithoutEndpoints_isLeftForTheFirstOfTheRank)
{
    listHomes(2);
    subscription.start();
    const std::string first = last().address;
    run(1s);
    last().close(withUnknownOutcome(makeFailure(FailureCode::ConnectionLost, "reset")));
    ASSERT_EQ(collectors.opened.size(), 2U);
    run(2500ms, {}, 0);
    ASSERT_EQ(collectors.opened.size(), 3U);
    EXPECT_EQ(last().address, first);
}

// Guards against a home that is only busy with budgets losing all gateways of its zone each time.
TEST_F(LoadSubscriptionTest, collectorUnreachableForOthersOnce_isKept)
{
    listHomes(3);
    subscription.start();
    run(2s);
    for (int n = 0; n < 10; ++n) {
        homes.noteUnreachable(subscription.collector(), timers.now());
        run(1s);
        homes.noteReached(subscription.collector());
        run(1s);
    }
    EXPECT_EQ(collectors.opened.size(), 1U);
}

// Guards against a stream opened many times a second to a home of an older version.
TEST_F(LoadSubscriptionTest, olderHome_isAskedEveryTenSecondsAndStaysAHome)
{
    listHomes(1);
    collectors.refusals[homeAddress(0)] = makeFailure(FailureCode::MalformedMessage, "the other side has no such path");
    subscription.start();
    run(9900ms);
    EXPECT_EQ(collectors.opened.size(), 1U);
    EXPECT_EQ(firstHomeAddress(), std::string()) << "another home would be tried";
    run(19s);
    EXPECT_EQ(collectors.opened.size(), 3U);
    collectors.refusals.clear();
    run(10s);
    EXPECT_EQ(collectors.opened.size(), 4U);
    EXPECT_EQ(endpoints.knownCount(), 4U);
}

// Guards against a zone without load updates for as long as its first home is of an older version: the homes report to
// the next one.
TEST_F(LoadSubscriptionTest, olderHomeIsRankedFirst_nextHomeIsUsedAtOnce)
{
    listHomes(2);
    const std::string first = firstHomeAddress();
    collectors.refusals[first] = makeFailure(FailureCode::MalformedMessage, "the other side has no such path");
    subscription.start();
    run(2s);
    EXPECT_NE(firstHomeAddress(), first);
    EXPECT_EQ(endpoints.knownCount(), 4U);
}

// As above, for one that cancels the stream.
TEST_F(LoadSubscriptionTest, cancellingHome_isAskedEveryTenSeconds)
{
    listHomes(1);
    collectors.refusals[homeAddress(0)] =
        withUnknownOutcome(makeFailure(FailureCode::ConnectionLost, "the other side ended the stream"));
    subscription.start();
    run(30s);
    EXPECT_LE(collectors.opened.size(), 4U);
    EXPECT_GE(collectors.opened.size(), 3U);
}

// Guards against a busy loop over homes none of which can be reached.
TEST_F(LoadSubscriptionTest, allHomesUnreachable_areTriedSeldom)
{
    listHomes(3);
    for (int n = 0; n < 3; ++n) {
        collectors.refusals[homeAddress(n)] = makeFailure(FailureCode::ConnectionLost, "refused");
    }
    subscription.start();
    run(10s);
    EXPECT_LE(collectors.opened.size(), 42U);
    EXPECT_GE(collectors.opened.size(), 5U);
    collectors.refusals.clear();
    run(4s);
    EXPECT_EQ(endpoints.knownCount(), 4U);
}

// Guards against a message that is delivered twice or late.
TEST_F(LoadSubscriptionTest, newsTwiceAndLate_changeNothing)
{
    listHomes(1);
    subscription.start();
    last().deliver(news());
    const auto before = endpoints.estimate(0, timers.now());
    last().deliver(news());
    EXPECT_EQ(endpoints.estimate(0, timers.now()), before);
    wire::LoadMessage late = news();
    for (auto &it : *late.mutable_news()->mutable_endpoints()) {
        it.set_running(50);
        it.set_age_us(700'000);
    }
    timers.advance(200ms);
    last().deliver(late);
    EXPECT_EQ(endpoints.estimate(0, timers.now())->running, before->running);
    EXPECT_EQ(rejected(), 0U);
}

// Guards against garbage that ends the process, changes what is known, or counts as a sign of life of the collector.
TEST_F(LoadSubscriptionTest, malformedNews_changeNothingAndCountAsSilence)
{
    listHomes(2);
    subscription.start();
    last().deliver(news());
    const auto before = endpoints.estimate(0, timers.now());
    last().deliverFrame("\xff\xff\xff garbage");
    last().deliverFrame(std::string(kMaximumLoadFrameBytes + 1, 'x'));
    EXPECT_EQ(rejected(), 2U);
    EXPECT_EQ(endpoints.estimate(0, timers.now()), before);
    wire::LoadMessage impossible = news();
    impossible.mutable_news()->mutable_endpoints(0)->set_age_us(std::numeric_limits<std::uint64_t>::max());
    impossible.mutable_news()->mutable_endpoints(1)->set_running(2'000'000'000);
    impossible.mutable_news()->mutable_gateways(0)->set_gateway("");
    last().deliver(impossible);
    EXPECT_EQ(rejected(), 5U);
    EXPECT_EQ(endpoints.estimate(0, timers.now()), before);
    const std::string first = last().address;
    for (int n = 0; n < 20; ++n) {
        timers.advance(100ms);
        if (collectors.opened.size() == 1) {
            last().deliverFrame("\xff garbage");
        }
    }
    ASSERT_EQ(collectors.opened.size(), 2U);
    EXPECT_NE(last().address, first);
}

// Guards against the load of an earlier life, and of a process that is not listed.
TEST_F(LoadSubscriptionTest, newsOfOtherIncarnation_areRejectedAndCounted)
{
    listHomes(1);
    subscription.start();
    last().deliver(news(4, 999));
    EXPECT_EQ(rejected(), 4U);
    EXPECT_EQ(endpoints.knownCount(), 0U);
}

// Guards against the gauges and the evenness of a pool standing still when load updates have ended.
TEST_F(LoadSubscriptionTest, newsEnd_knownLoadsExpire)
{
    listHomes(1);
    subscription.start();
    last().deliver(news());
    subscription.updateGauges();
    EXPECT_EQ(metrics.gauge("radishswitch_endpoint_news_known", "").value(), 4);
    run(70s, {homeAddress(0)});
    subscription.updateGauges();
    EXPECT_EQ(metrics.gauge("radishswitch_endpoint_news_known", "").value(), 0);
    EXPECT_EQ(metrics.gauge("radishswitch_endpoint_news_oldest_seconds", "").value(), 0);
    EXPECT_EQ(metrics.gauge("radishswitch_pool_is_uneven", "", {{"pool", "llm"}}).value(), 0);
}

// Guards against callbacks into a subscription that has ended.
TEST_F(LoadSubscriptionTest, subscriptionEnds_streamIsCancelledAndCallbacksAreDropped)
{
    listHomes(1);
    auto other = std::make_unique<LoadSubscription>(
        collectors, homes, timers, metrics, endpoints, gateways, settings,
        [] {
            return 0.0;
        },
        [] {
            return false;
        });
    other->start();
    const FakeCollectors::StreamPointer stream = collectors.opened.back();
    other.reset();
    EXPECT_TRUE(stream->isCancelled);
    stream->deliver(news());
    stream->close(absl::OkStatus());
    EXPECT_EQ(endpoints.knownCount(), 0U);
    EXPECT_EQ(timers.pending(), 0U);
}
