#include "base/failure.h"
#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "serving/relayedstore.h"
#include "storelink.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

using namespace RadishSwitch;

namespace
{

/// Records the peer that was asked, and never answers.
class SilentWatchPeers : public WatchPeerPort
{
public:
    void watch(const std::string &peer, const std::string &, std::uint64_t, Duration,
               ObjectStore::Callback<StoreChanges>) override
    {
        asked = peer;
    }

    std::string asked;
};

}

class RelayedStoreTest : public testing::Test
{
protected:
    /// The peer that a gateway asks when it watches; empty if it asks the store itself.
    std::string askedBy(const std::string &name)
    {
        HomeDirectory homes(name);
        homes.setPeers(peers);
        SilentWatchPeers port;
        StoreLink link(store, tasks, timers);
        RelayedStore relayed(link, homes, port, timers, std::chrono::seconds(1));
        relayed.watch("servers/", 1, [](const auto &) {});
        EXPECT_EQ(link.calls() > 0, port.asked.empty());
        return port.asked;
    }

    void expectEachReachesAStoreWatcher()
    {
        std::set<std::string> watchers;
        for (const auto &[name, peer] : peers) {
            std::string at = name;
            std::string next = askedBy(at);
            for (int hops = 0; hops < 5 && !next.empty(); ++hops) {
                at = next;
                next = askedBy(at);
            }
            EXPECT_TRUE(next.empty()) << name << " waits for gateways that wait for one another";
            watchers.insert(at);
        }
        EXPECT_EQ(watchers.size(), 4U);
    }

    ManualTaskQueue tasks;
    VirtualTimerService timers;
    MemoryObjectStore store{tasks};
    std::map<std::string, FleetPeer> peers;
};

// Guards against gateways that wait for each other. Each zone has a gateway that watches the store. When that gateway
// was in another zone, it had a watcher of its own. Two gateways could then watch through each other, and none learned
// of a leaving endpoint until their watches timed out.
TEST_F(RelayedStoreTest, watch_severalZones_everyGatewayReachesAStoreWatcher)
{
    for (int fleet = 0; fleet < 20; ++fleet) {
        peers.clear();
        for (int n = 0; n < 24; ++n) {
            const std::string name = "gateway-" + std::to_string(fleet) + "-" + std::to_string(n);
            peers[name] = {"10.0.0.1:1", n % 5 == 0 ? 0.5 : 0.1, "zone-" + std::to_string(n % 4)};
        }
        expectEachReachesAStoreWatcher();
    }
}

namespace
{

/// Answers like a home that reaches the store, and records the peers that were asked.
class HomeWatchPeers : public WatchPeerPort
{
public:
    explicit HomeWatchPeers(ObjectStore &store)
        : m_store(store)
    {
    }

    void watch(const std::string &peer, const std::string &prefix, std::uint64_t fromVersion, Duration,
               ObjectStore::Callback<StoreChanges> callback) override
    {
        asked.push_back(peer);
        if (isStoreLost) {
            return callback(makeFailure(FailureCode::StoreUnavailable, "the store does not answer here"));
        }
        if (isSilent) {
            return callback(makeFailure(FailureCode::ConnectionSilent, "silent"));
        }
        fromVersion == 0 ? m_store.list(prefix, std::move(callback))
                         : m_store.watch(prefix, fromVersion, std::move(callback));
    }

    bool isSilent = false;
    bool isStoreLost = false;
    std::vector<std::string> asked;

private:
    ObjectStore &m_store;
};

}

/// A gateway that is cut off from the store, and homes beside endpoints that are not.
class ReadThroughHomeTest : public testing::Test
{
protected:
    ReadThroughHomeTest()
        : homes("g")
        , relayed(link, homes, port, timers, std::chrono::seconds(1))
    {
        homes.setPeers({{"g", {"10.0.0.1:1", 1, "a"}},
                        {"h-b", {"10.0.1.1:1", 9, "b", PeerKind::Home}},
                        {"h-a", {"10.0.1.2:1", 1, "a", PeerKind::Home}}});
    }

    absl::StatusOr<StoreChanges> list()
    {
        absl::StatusOr<StoreChanges> result = makeFailure(FailureCode::Internal, "no answer");
        relayed.list("servers/", [&result](const absl::StatusOr<StoreChanges> &changes) {
            result = changes;
        });
        run(std::chrono::seconds(5));
        return result;
    }

    void run(Duration span)
    {
        const Instant end = timers.now() + span;
        while (timers.now() < end) {
            tasks.runAll();
            timers.advance(std::chrono::milliseconds(5));
        }
    }

    void put(const std::string &key)
    {
        store.put(key, "{}", 0, [](const auto &) {});
        tasks.runAll();
    }

    ManualTaskQueue tasks;
    VirtualTimerService timers;
    MemoryObjectStore store{tasks};
    StoreLink link{store, tasks, timers};
    HomeDirectory homes;
    HomeWatchPeers port{store};
    RelayedStore relayed;
};

// Guards against sending all calls to the endpoints that are left. All gateways are cut off from the store just after
// endpoints crashed. The endpoints that start in their place are known only to the store, so the gateways must read it
// through a home.
TEST_F(ReadThroughHomeTest, list_gatewayCutOff_readsThroughHomeOfItsZone)
{
    put("servers/e1");
    link.setCut(true);
    const absl::StatusOr<StoreChanges> changes = list();
    ASSERT_TRUE(changes.ok()) << changes.status();
    EXPECT_EQ(changes->objects.size(), 1U);
    EXPECT_EQ(port.asked, std::vector<std::string>{"h-a"});
    EXPECT_TRUE(relayed.isReadingThroughHome());
}

TEST_F(ReadThroughHomeTest, list_storeReachableAgain_readsDirectly)
{
    put("servers/e1");
    link.setCut(true);
    ASSERT_TRUE(list().ok());
    link.setCut(false);
    run(std::chrono::seconds(3));
    const std::size_t asked = port.asked.size();
    ASSERT_TRUE(list().ok());
    EXPECT_EQ(port.asked.size(), asked);
    EXPECT_FALSE(relayed.isReadingThroughHome());
}

// Guards against hiding a failure of the store: if the store is down, or the homes can't be reached either, the store's
// failure is reported.
TEST_F(ReadThroughHomeTest, list_homesSilentToo_failsLikeTheStore)
{
    link.setCut(true);
    port.isSilent = true;
    EXPECT_FALSE(list().ok());
    EXPECT_FALSE(relayed.isReadingThroughHome());
    EXPECT_FALSE(list().ok());
    EXPECT_EQ(port.asked, (std::vector<std::string>{"h-a", "h-a"}));
}

TEST_F(ReadThroughHomeTest, watch_watcherAndHomesLostStore_readsDirectly)
{
    // The gateway that watches for the zone, and the home through which the zone would read, are cut off from the store
    // and report that. Other gateways of the zone still reach the store. A gateway that trusted these reports served an
    // outdated configuration for six seconds, and refused calls on routes that had been added since.
    homes.setPeers({{"g", {"10.0.0.1:1", 1, "a"}},
                    {"w", {"10.0.0.2:1", 1000, "a"}},
                    {"h-a", {"10.0.1.2:1", 1, "a", PeerKind::Home}}});
    port.isStoreLost = true;
    store.put("config/main", "{}", 0, [](const absl::StatusOr<std::uint64_t> &) {});
    absl::StatusOr<StoreChanges> result = makeFailure(FailureCode::Internal, "no answer");
    relayed.watch("config/", 0, [&result](const absl::StatusOr<StoreChanges> &changes) {
        result = changes;
    });
    run(std::chrono::seconds(1));

    ASSERT_TRUE(result.ok()) << result.status();
    ASSERT_EQ(result->objects.size(), 1u);
    EXPECT_EQ(port.asked, std::vector<std::string>{"w"});
}

namespace
{

/// Gateways of a zone, each with a set answer. Records the peers that were asked.
class ZoneWatchPeers : public WatchPeerPort
{
public:
    void watch(const std::string &peer, const std::string &, std::uint64_t, Duration,
               ObjectStore::Callback<StoreChanges> callback) override
    {
        asked.push_back(peer);
        const auto it = failures.find(peer);
        it == failures.end() ? callback(StoreChanges{{}, version})
                             : callback(makeFailure(it->second, "set by the test"));
    }

    std::map<std::string, FailureCode> failures;
    std::uint64_t version = 10;
    std::vector<std::string> asked;
};

}

/// A gateway with four others in its zone, all of a greater weight.
class ZoneWatcherTest : public testing::Test
{
protected:
    ZoneWatcherTest()
    {
        homes.setOwnPeer({"10.0.0.9:1", 0.1, "a"});
    }

    void listPeers()
    {
        std::map<std::string, FleetPeer> peers;
        for (int n = 0; n < 4; ++n) {
            peers["g-" + std::to_string(n)] = {"10.0.0." + std::to_string(n) + ":1", 1, "a"};
        }
        homes.setPeers(peers);
    }

    void watch()
    {
        relayed.watch("servers/", 1, [this](const absl::StatusOr<StoreChanges> &) {
            ++answers;
        });
    }

    void pass(Duration span)
    {
        timers.advance(span);
        tasks.runAll();
    }

    ManualTaskQueue tasks;
    VirtualTimerService timers;
    MemoryObjectStore store{tasks};
    StoreLink link{store, tasks, timers};
    HomeDirectory homes{"self"};
    ZoneWatchPeers port;
    RelayedStore relayed{link, homes, port, timers, std::chrono::seconds(1)};
    int answers = 0;
};

// Guards against a zone whose gateways all ask the store when their watcher is gone.
TEST_F(ZoneWatcherTest, watch_watcherUnreachable_asksNextOfZoneNotStore)
{
    listPeers();
    port.failures[homes.watcher(timers.now())] = FailureCode::ConnectionLost;
    watch();
    EXPECT_EQ(answers, 1);
    EXPECT_EQ(port.asked.size(), 2U);
    EXPECT_EQ(link.calls(), 0);
}

// Guards against changes that arrive too late: a silent watcher has used up the time in which they must arrive, so no
// further watcher is asked.
TEST_F(ZoneWatcherTest, watch_watcherSilent_asksStoreAtOnce)
{
    listPeers();
    port.failures[homes.watcher(timers.now())] = FailureCode::ConnectionSilent;
    watch();
    EXPECT_EQ(port.asked.size(), 1U);
    EXPECT_EQ(link.calls(), 1);
}

// Guards against a gateway that keeps asking its zone's watchers while only these are cut off from the store.
TEST_F(ZoneWatcherTest, watch_allWatchersLostStore_asksStoreFinally)
{
    listPeers();
    for (int n = 0; n < 4; ++n) {
        port.failures["g-" + std::to_string(n)] = FailureCode::StoreUnavailable;
    }
    watch();
    EXPECT_EQ(port.asked.size(), 3U);
    EXPECT_EQ(link.calls(), 1);
}

// Guards against a starting fleet in which every process watches the store itself.
TEST_F(ZoneWatcherTest, watch_peersNotKnownYet_waitsForThem)
{
    watch();
    pass(std::chrono::milliseconds(200));
    EXPECT_EQ(link.calls(), 0);
    listPeers();
    pass(std::chrono::milliseconds(60));
    EXPECT_EQ(port.asked.size(), 1U);
    EXPECT_EQ(link.calls(), 0);
}

TEST_F(ZoneWatcherTest, watch_peersNeverKnown_asksStoreAfterAWhile)
{
    watch();
    for (int n = 0; n < 50; ++n) {
        pass(std::chrono::milliseconds(50));
    }
    EXPECT_EQ(link.calls(), 1);
}

// Guards against lists from the store by all gateways after a partition, and against a list that is older than what the
// gateway already knows.
TEST_F(ZoneWatcherTest, list_watchersListOutdated_readsFromStore)
{
    listPeers();
    relayed.list("servers/", [](const absl::StatusOr<StoreChanges> &) {});
    EXPECT_EQ(link.calls(), 0);

    port.version = 9;
    relayed.list("servers/", [](const absl::StatusOr<StoreChanges> &) {});

    EXPECT_EQ(link.calls(), 1);
}

// Guards against calls to the store that grow with the fleet: one gateway of each zone watches, however many gateways
// there are.
TEST_F(RelayedStoreTest, watch_fleetsOfThirtyToAThousand_oneStoreWatcherPerZone)
{
    constexpr int kZones = 5;
    for (const int size : {30, 100, 300, 1'000}) {
        peers.clear();
        for (int n = 0; n < size; ++n) {
            const double weight = n % 7 == 0 ? 1 : 0.09;
            peers["gateway-" + std::to_string(n)] = {"10.0.0.1:1", weight, "zone-" + std::to_string(n % kZones)};
        }
        int watching = 0;
        for (const auto &[name, peer] : peers) {
            watching += askedBy(name).empty() ? 1 : 0;
        }
        EXPECT_EQ(watching, kZones) << size << " gateways";
    }
}
