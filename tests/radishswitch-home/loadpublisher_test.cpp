#include "fakeloadstreams.h"
#include "fleetparts.h"
#include "loadpublisher.h"
#include "loadservice.h"
#include "manualtaskqueue.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <set>

using namespace RadishSwitch;
using namespace std::chrono_literals;

/// A home that sends its reports to the collectors of two zones, with three homes each that may be collectors.
class LoadPublisherTest : public testing::Test
{
protected:
    struct Collector {
        Collector(TimerService &timers, Metrics &metrics)
            : service(collector, timers, metrics)
        {
        }

        LoadCollector collector;
        LoadService service;
    };

    LoadPublisherTest()
    {
        for (const std::string zone : {"a", "b"}) {
            for (int n = 0; n < 3; ++n) {
                addHome("home-" + zone + std::to_string(n), zone);
            }
            peers["gateway-" + zone] = {"10.0.0.9:1", 1, zone, PeerKind::Gateway};
        }
        publisher.setPeers(peers);
    }

    void addHome(const std::string &name, const std::string &zone)
    {
        peers[name] = {name + ":1", 1, zone, PeerKind::Home};
        auto &it = collectors[name] = std::make_unique<Collector>(timers, metrics);
        clients.addProcess(name + ":1", [&service = it->service](const MessageStreamPointer &stream) {
            service.serve(stream);
        });
    }

    std::optional<EndpointLoadReport> report() const
    {
        EndpointLoadReport report;
        report.address = "10.0.0.1:8000";
        report.startedAtMilliseconds = 1'700'000'000'000;
        return hasReport ? std::optional(report) : std::nullopt;
    }

    void runFor(Duration span)
    {
        constexpr Duration kStep = 5ms;
        for (Duration done{}; done < span; done += kStep) {
            timers.advance(kStep);
            tasks.runAll();
        }
    }

    bool knowsEndpoint(const std::string &home) const
    {
        return collectors.at(home)->collector.endpointCount() > 0;
    }

    void setFault(const std::string &home, FakeLoadClients::Fault fault)
    {
        clients.setFault(home + ":1", fault);
    }

    /// Until when a collector of the zone other than `lost` knows the endpoint.
    Duration timeUntilOtherKnows(const std::string &lost, Duration longest)
    {
        for (Duration span{}; span < longest; span += 50ms) {
            const std::string now = publisher.collectorOf("a");
            if (!now.empty() && now != lost && knowsEndpoint(now)) {
                return span;
            }
            runFor(50ms);
        }
        return longest;
    }

    bool hasReport = true;
    int zonesWithoutCollector = 0;
    ManualTaskQueue tasks;
    VirtualTimerService timers;
    Metrics metrics;
    std::map<std::string, FleetPeer> peers;
    std::map<std::string, std::unique_ptr<Collector>> collectors;
    FakeLoadClients clients{tasks, timers};
    HomeDirectory homes{"home-of-endpoint", collectorDirectorySettings()};
    LoadCollector ownCollector;
    LoadPublisher publisher{clients,
                            homes,
                            timers,
                            ownCollector,
                            [this] {
                                return report();
                            },
                            [this] {
                                ++zonesWithoutCollector;
                            }};
};

TEST_F(LoadPublisherTest, report_reachesOneCollectorOfEachZone)
{
    runFor(1s);
    for (const std::string zone : {"a", "b"}) {
        const std::string chosen = publisher.collectorOf(zone);
        EXPECT_EQ(chosen, homes.nearestHome(zone, timers.now()));
        EXPECT_TRUE(knowsEndpoint(chosen));
        EXPECT_EQ(clients.opened(chosen + ":1"), 1);
    }
    int known = 0;
    for (const auto &[name, collector] : collectors) {
        known += knowsEndpoint(name) ? 1 : 0;
    }
    EXPECT_EQ(known, 2);
    EXPECT_EQ(zonesWithoutCollector, 0);
}

// Guards against an engine that does not answer and whose last load is sent on.
TEST_F(LoadPublisherTest, noReport_sendsNothing)
{
    hasReport = false;
    runFor(1s);
    EXPECT_EQ(publisher.collectorOf("a"), "");
    hasReport = true;
    runFor(1s);
    const std::string chosen = publisher.collectorOf("a");
    ASSERT_TRUE(knowsEndpoint(chosen));
    hasReport = false;
    runFor(15s);
    EXPECT_FALSE(knowsEndpoint(chosen));
    EXPECT_EQ(publisher.collectorOf("a"), chosen);
}

TEST_F(LoadPublisherTest, killedCollector_nextOneTakesOverWithinASecond)
{
    runFor(1s);
    const std::string first = publisher.collectorOf("a");
    setFault(first, FakeLoadClients::Fault::Killed);
    EXPECT_LE(timeUntilOtherKnows(first, 5s), 1s);
    // It is tried again, and used again once it is back.
    runFor(5s);
    setFault(first, FakeLoadClients::Fault::None);
    runFor(4s);
    EXPECT_EQ(publisher.collectorOf("a"), first);
    EXPECT_TRUE(knowsEndpoint(first));
}

// A frozen process still takes connections. Guards against reports that are lost while it is tried again and again.
TEST_F(LoadPublisherTest, frozenCollector_nextOneTakesOverAndKeepsGettingReports)
{
    runFor(1s);
    const std::string first = publisher.collectorOf("a");
    setFault(first, FakeLoadClients::Fault::Frozen);
    EXPECT_LE(timeUntilOtherKnows(first, 10s), 2'250ms);
    const std::string second = publisher.collectorOf("a");
    for (int n = 0; n < 40; ++n) {
        runFor(500ms);
        EXPECT_EQ(publisher.collectorOf("a"), second);
        EXPECT_TRUE(knowsEndpoint(second));
    }
    setFault(first, FakeLoadClients::Fault::None);
    runFor(5s);
    EXPECT_EQ(publisher.collectorOf("a"), first);
}

// Guards against a collector that hears reports and whose updates reach nobody: it has to be given up.
TEST_F(LoadPublisherTest, collectorWhoseAnswersAreLost_isGivenUp)
{
    const std::string first = homes.nearestHome("a", timers.now());
    setFault(first, FakeLoadClients::Fault::MuteAnswers);
    runFor(3s);
    const std::string second = publisher.collectorOf("a");
    EXPECT_NE(second, first);
    ASSERT_NE(second, "");
    EXPECT_TRUE(knowsEndpoint(second));
    runFor(10s);
    EXPECT_EQ(publisher.collectorOf("a"), second);
}

// Guards against a stream a second to processes of an older version during an upgrade.
TEST_F(LoadPublisherTest, olderProcess_isAskedEveryTenSeconds)
{
    const std::string first = homes.nearestHome("a", timers.now());
    setFault(first, FakeLoadClients::Fault::Older);
    runFor(1s);
    EXPECT_NE(publisher.collectorOf("a"), "");
    EXPECT_NE(publisher.collectorOf("a"), first);
    runFor(29s);
    EXPECT_LE(clients.opened(first + ":1"), 3);
    setFault(first, FakeLoadClients::Fault::None);
    runFor(11s);
    EXPECT_EQ(publisher.collectorOf("a"), first);
}

// Guards against a zone that stays without collector since the list of processes is out of date.
TEST_F(LoadPublisherTest, allHomesOfZoneKilled_asksForTheListAndUsesAnotherZone)
{
    runFor(1s);
    for (int n = 0; n < 3; ++n) {
        setFault("home-a" + std::to_string(n), FakeLoadClients::Fault::Killed);
    }
    runFor(5s);
    EXPECT_GT(zonesWithoutCollector, 0);
    EXPECT_EQ(publisher.collectorOf("a").substr(0, 6), "home-b");
    addHome("home-a-new", "a");
    publisher.setPeers(peers);
    runFor(5s);
    EXPECT_EQ(publisher.collectorOf("a"), "home-a-new");
    EXPECT_TRUE(knowsEndpoint("home-a-new"));
}

// Guards against a home that sends reports to itself over the network, or none when it is the collector itself.
TEST_F(LoadPublisherTest, homeThatIsCollector_feedsItself)
{
    std::map<std::string, FleetPeer> alone{{homes.self(), {"10.0.0.1:1", 1, "a", PeerKind::Home}}};
    publisher.setPeers(alone);
    runFor(1s);
    EXPECT_EQ(publisher.collectorOf("a"), homes.self());
    EXPECT_EQ(ownCollector.endpointCount(), 1U);
    EXPECT_EQ(clients.opened("10.0.0.1:1"), 0);
}

// Guards against streams to processes that are not listed any more, and to addresses that they have left.
TEST_F(LoadPublisherTest, collectorRemovedOrMoved_streamFollows)
{
    runFor(1s);
    const std::string first = publisher.collectorOf("a");
    std::map<std::string, FleetPeer> fewer = peers;
    fewer.erase(first);
    publisher.setPeers(fewer);
    runFor(1s);
    EXPECT_NE(publisher.collectorOf("a"), first);
    runFor(4s);
    EXPECT_FALSE(knowsEndpoint(first));
    publisher.setPeers(peers);
    runFor(1s);
    EXPECT_EQ(publisher.collectorOf("a"), first);
    peers[first].address = "moved:1";
    clients.addProcess("moved:1", [this, first](const MessageStreamPointer &stream) {
        collectors.at(first)->service.serve(stream);
    });
    publisher.setPeers(peers);
    runFor(1s);
    EXPECT_EQ(clients.opened("moved:1"), 1);
}
