#include "serving/homedirectory.h"

#include <gtest/gtest.h>

#include <set>

#include <algorithm>
#include <map>

using namespace RadishSwitch;

class HomeDirectoryTest : public testing::Test
{
protected:
    static Instant at(int milliseconds)
    {
        return Instant(std::chrono::milliseconds(milliseconds));
    }

    static std::string key(int n)
    {
        return "ledger/" + std::to_string(n);
    }

    const std::map<std::string, FleetPeer> peers{
        {"a", {"10.0.0.1:1", 1}}, {"b", {"10.0.0.2:1", 1}}, {"c", {"10.0.0.3:1", 2}}};
};

TEST_F(HomeDirectoryTest, candidates_samePeersAtTwoGateways_agreeOnHome)
{
    HomeDirectory a("a");
    HomeDirectory b("b");
    a.setPeers(peers);
    b.setPeers(peers);
    for (int n = 0; n < 100; ++n) {
        EXPECT_EQ(a.candidates(key(n), at(0)).front(), b.candidates(key(n), at(0)).front());
    }
}

TEST_F(HomeDirectoryTest, candidates_gatewayOfGreaterWeight_isHomeOfMoreKeys)
{
    HomeDirectory a("a");
    a.setPeers(peers);
    std::map<std::string, int> homes;
    for (int n = 0; n < 2000; ++n) {
        ++homes[a.candidates(key(n), at(0)).front()];
    }
    EXPECT_NEAR(homes["c"], 1000, 120);
    EXPECT_NEAR(homes["a"], 500, 100);
}

// Guards against keys that stay at a dead home, and against moving the keys of others. While a home can't be reached,
// only its keys go to other processes; afterwards they return to it.
TEST_F(HomeDirectoryTest, candidates_homeUnreachableForAWhile_isSkippedThenUsedAgain)
{
    HomeDirectory a("a");
    a.setPeers(peers);
    std::map<int, std::string> before;
    for (int n = 0; n < 50; ++n) {
        before[n] = a.candidates(key(n), at(0)).front();
    }
    a.noteUnreachable("b", at(0));
    for (int n = 0; n < 50; ++n) {
        const std::string now = a.candidates(key(n), at(10)).front();
        EXPECT_NE(now, "b");
        EXPECT_TRUE(before[n] == "b" || before[n] == now);
    }
    a.noteReached("b");
    for (int n = 0; n < 50; ++n) {
        EXPECT_EQ(a.candidates(key(n), at(20)).front(), before[n]);
    }
}

TEST_F(HomeDirectoryTest, candidates_allPeersUnreachable_areOnlyTheGatewayItself)
{
    HomeDirectory a("a");
    a.setPeers(peers);
    a.noteUnreachable("b", at(0));
    a.noteUnreachable("c", at(0));
    EXPECT_EQ(a.candidates(key(1), at(1)), std::vector<std::string>{"a"});
}

TEST_F(HomeDirectoryTest, usualHome_peerFailedManyTimes_isAnotherProcess)
{
    HomeDirectory a("a");
    a.setPeers({{"a", {"10.0.0.1:1", 1}}, {"b", {"10.0.0.2:1", 1}}});
    int ownKeys = 0;
    for (int n = 0; n < 50; ++n) {
        ownKeys += a.usualHome(key(n)) == "a" ? 1 : 0;
    }
    EXPECT_LT(ownKeys, 50);
    for (int n = 0; n < 5; ++n) {
        a.noteUnreachable("b", at(10'000 * n));
    }
    for (int n = 0; n < 50; ++n) {
        EXPECT_EQ(a.usualHome(key(n)), "a");
    }
}

// Guards against a stopping gateway that is still the home of keys. It must not even regard itself as one, but must
// still serve its own calls when no other process is left.
TEST_F(HomeDirectoryTest, leave_otherProcessesLeft_gatewayIsNoHome)
{
    HomeDirectory a("a");
    a.setPeers(peers);
    a.leave();
    for (int n = 0; n < 50; ++n) {
        const std::vector<std::string> names = a.candidates(key(n), at(0));
        EXPECT_EQ(std::ranges::count(names, "a"), 0);
        EXPECT_NE(a.usualHome(key(n)), "a");
    }
    a.setPeers({});
    EXPECT_EQ(a.candidates(key(0), at(0)), std::vector<std::string>{"a"});
}

// Guards against a gateway that goes on treating all others as gone after it was cut off from the network. When it
// reaches the store again, it must ask the usual homes at once, instead of taking portions of all budgets itself.
TEST_F(HomeDirectoryTest, forgetFailures_allPeersFailed_restoresUsualHomes)
{
    HomeDirectory a("a");
    a.setPeers(peers);
    const std::vector<std::string> before = a.candidates(key(1), at(0));
    for (int n = 0; n < 8; ++n) {
        a.noteUnreachable("b", at(n * 10'000));
        a.noteUnreachable("c", at(n * 10'000));
    }
    EXPECT_EQ(a.usualHome(key(1)), "a");
    a.forgetFailures();
    EXPECT_EQ(a.candidates(key(1), at(70'000)), before);
}

// Guards against homes on gateways, which are restarted and cut off many at a time, while processes of the kind Home
// are not. Whatever the weights, candidates are two of these first, and gateways only if no Home can be reached.
TEST_F(HomeDirectoryTest, candidates_homesAndGateways_homesComeFirst)
{
    HomeDirectory a("a");
    a.setPeers({{"a", {"10.0.0.1:1", 9}},
                {"b", {"10.0.0.2:1", 9}},
                {"h1", {"10.0.1.1:1", 0.1, "z", PeerKind::Home}},
                {"h2", {"10.0.1.2:1", 0.1, "z", PeerKind::Home}},
                {"h3", {"10.0.1.3:1", 0.1, "z", PeerKind::Home}}});
    for (int n = 0; n < 50; ++n) {
        const std::vector<std::string> names = a.candidates(key(n), at(0));
        ASSERT_EQ(names.size(), 4U);
        EXPECT_EQ(names[0].front(), 'h');
        EXPECT_EQ(names[1].front(), 'h');
        EXPECT_EQ(a.usualHome(key(n)), names[0]);
    }
    for (const char *home : {"h1", "h2", "h3"}) {
        a.noteUnreachable(home, at(0));
    }
    EXPECT_EQ(a.candidates(key(1), at(1)).size(), 2U);
}

// Guards against a gateway that watches through a Home: a Home has no configuration and follows no objects, so the
// gateway would receive no changes.
TEST_F(HomeDirectoryTest, watcher_zoneWithHome_isAGateway)
{
    HomeDirectory a("a");
    a.setPeers({{"a", {"10.0.0.1:1", 1, "z"}}, {"h1", {"10.0.1.1:1", 1000, "z", PeerKind::Home}}});
    EXPECT_EQ(a.watcher(at(0)), "a");
}

TEST_F(HomeDirectoryTest, watcher_fewStrongGatewaysInZone_isOneOfThem)
{
    // Guards against a watcher with a slow link. A small gateway that watches for twenty others needs two seconds to
    // send them one large configuration. When the configuration changes faster, it takes effect late in the whole zone:
    // calls are matched against routes and keys that are four seconds old.
    std::map<std::string, FleetPeer> zone;
    for (int n = 0; n < 20; ++n) {
        zone["weak-" + std::to_string(n)] = {"10.0.0.1:1", 0.09, "a"};
    }
    zone["strong-1"] = {"10.0.1.1:1", 0.5, "a"};
    zone["strong-2"] = {"10.0.1.2:1", 0.5, "a"};
    std::set<std::string> watchers;
    for (const auto &[name, peer] : zone) {
        HomeDirectory directory(name);
        directory.setPeers(zone);
        const std::string watcher = directory.watcher(at(0));
        EXPECT_TRUE(watcher.starts_with("strong")) << name << " watches through " << watcher;
        watchers.insert(watcher);
    }
    EXPECT_EQ(watchers.size(), 1u);

    HomeDirectory weak("weak-3");
    weak.setPeers(zone);
    weak.noteUnreachable("strong-1", at(0));
    weak.noteUnreachable("strong-2", at(0));
    EXPECT_TRUE(weak.watcher(at(1)).starts_with("weak"));
}

// Guards against a process that becomes its own zone's watcher because the list of processes does not contain it yet.
TEST_F(HomeDirectoryTest, watcher_ownProcessNotListedYet_isOfItsZone)
{
    HomeDirectory self("self");
    self.setOwnPeer({"10.0.0.9:1", 0.1, "east"});
    self.setPeers({{"strong", {"10.0.0.1:1", 1, "east"}}, {"other", {"10.0.0.2:1", 1, "west"}}});
    EXPECT_EQ(self.watcher(at(0)), "strong");
}

// Guards against too few candidates when all the processes of a truncated ranking are unreachable: processes ranked
// behind them must be named.
TEST_F(HomeDirectoryTest, candidates_manyUnreachable_namesLowerRankedPeers)
{
    std::map<std::string, FleetPeer> many;
    for (int n = 0; n < 100; ++n) {
        many["home-" + std::to_string(n)] = {"10.0.1." + std::to_string(n) + ":1", 1, "east", PeerKind::Home};
    }
    HomeDirectory directory("self");
    directory.setPeers(many);
    for (int n = 0; n < 30; ++n) {
        directory.noteUnreachable(directory.candidates(key(1), at(0)).front(), at(0));
    }
    const std::vector<std::string> named = directory.candidates(key(1), at(0));
    ASSERT_EQ(named.size(), 3U);
    EXPECT_NE(named.front(), "self");
}

// Guards against homes and gateways of different zones that choose different collectors for a zone.
TEST_F(HomeDirectoryTest, nearestHome_ofAnyZone_isTheSameForAllProcesses)
{
    std::map<std::string, FleetPeer> fleet;
    for (const std::string zone : {"a", "b", "c"}) {
        for (int n = 0; n < 5; ++n) {
            fleet["home-" + zone + std::to_string(n)] = {"10.0.0.1:1", 1, zone, PeerKind::Home};
        }
        fleet["gateway-" + zone] = {"10.0.0.2:1", 1, zone, PeerKind::Gateway};
    }
    for (const std::string zone : {"a", "b", "c"}) {
        HomeDirectory own("gateway-" + zone);
        own.setPeers(fleet);
        const std::string chosen = own.nearestHome(at(0));
        EXPECT_EQ(fleet.at(chosen).zone, zone);
        for (const auto &[name, peer] : fleet) {
            HomeDirectory other(name);
            other.setPeers(fleet);
            EXPECT_EQ(other.nearestHome(zone, at(0)), chosen);
        }
    }
}

// Guards against a process of an older version that is asked again and again for what it does not do.
TEST_F(HomeDirectoryTest, refusingHome_isNotAskedForThePause)
{
    HomeDirectory a("a");
    a.setPeers({{"h1", {"10.0.0.1:1", 1, "a", PeerKind::Home}}, {"h2", {"10.0.0.2:1", 1, "a", PeerKind::Home}}});
    const std::string first = a.nearestHome("a", at(0));
    a.noteRefused(first, at(0), std::chrono::seconds(10));
    EXPECT_NE(a.nearestHome("a", at(9'999)), first);
    EXPECT_EQ(a.nearestHome("a", at(10'000)), first);
}
