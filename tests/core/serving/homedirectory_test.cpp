#include "serving/homedirectory.h"

#include <gtest/gtest.h>

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

    const std::map<std::string, GatewayPeer> peers{
        {"a", {"10.0.0.1:1", 1}}, {"b", {"10.0.0.2:1", 1}}, {"c", {"10.0.0.3:1", 2}}};
};

TEST_F(HomeDirectoryTest, gatewaysThatKnowTheSame_agreeOnEachHome)
{
    HomeDirectory a("a");
    HomeDirectory b("b");
    a.setPeers(peers);
    b.setPeers(peers);
    for (int n = 0; n < 100; ++n) {
        EXPECT_EQ(a.candidates(key(n), at(0)).front(), b.candidates(key(n), at(0)).front());
    }
}

TEST_F(HomeDirectoryTest, heavierGateway_hasMoreHomes)
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

// A home dies. Its keys go to the others for as long as it can't be reached, and back to it afterwards; nobody else's
// move.
TEST_F(HomeDirectoryTest, unreachableHome_isPassedOverAndComesBack)
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

TEST_F(HomeDirectoryTest, everyOtherGone_leavesTheGatewayToItself)
{
    HomeDirectory a("a");
    a.setPeers(peers);
    a.noteUnreachable("b", at(0));
    a.noteUnreachable("c", at(0));
    EXPECT_EQ(a.candidates(key(1), at(1)), std::vector<std::string>{"a"});
}

TEST_F(HomeDirectoryTest, peerThatKeepsFailing_noLongerCountsAsHome)
{
    HomeDirectory a("a");
    a.setPeers({{"a", {"10.0.0.1:1", 1}}, {"b", {"10.0.0.2:1", 1}}});
    int mine = 0;
    for (int n = 0; n < 50; ++n) {
        mine += a.isHome(key(n)) ? 1 : 0;
    }
    EXPECT_LT(mine, 50);
    for (int n = 0; n < 5; ++n) {
        a.noteUnreachable("b", at(10'000 * n));
    }
    for (int n = 0; n < 50; ++n) {
        EXPECT_TRUE(a.isHome(key(n)));
    }
}

// A gateway is told to stop. It is nobody's home any more, also in its own eyes, but its own calls are not stranded
// when no other is left.
TEST_F(HomeDirectoryTest, leavingGateway_isNoHomeWhileThereAreOthers)
{
    HomeDirectory a("a");
    a.setPeers(peers);
    a.leave();
    for (int n = 0; n < 50; ++n) {
        const std::vector<std::string> names = a.candidates(key(n), at(0));
        EXPECT_EQ(std::ranges::count(names, "a"), 0);
        EXPECT_FALSE(a.isHome(key(n)));
    }
    a.setPeers({});
    EXPECT_EQ(a.candidates(key(0), at(0)), std::vector<std::string>{"a"});
}

// A gateway was cut off and took all others for gone. Once it reaches the store again it asks their homes at once, and
// does not take portions of all budgets itself.
TEST_F(HomeDirectoryTest, forgottenFailures_makeTheOldHomesAskedAgain)
{
    HomeDirectory a("a");
    a.setPeers(peers);
    const std::vector<std::string> before = a.candidates(key(1), at(0));
    for (int n = 0; n < 8; ++n) {
        a.noteUnreachable("b", at(n * 10'000));
        a.noteUnreachable("c", at(n * 10'000));
    }
    EXPECT_TRUE(a.isHome(key(1)));
    a.forgetFailures();
    EXPECT_EQ(a.candidates(key(1), at(70'000)), before);
}
