#include "manualtaskqueue.h"
#include "membership/fleetmembership.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

using namespace RadishSwitch;
using namespace std::chrono_literals;

class FleetMembershipTest : public testing::Test
{
protected:
    EntryMember memberOf(const std::string &name, const std::string &incarnation = "")
    {
        EntryMember member;
        member.incarnation = IncarnationId(incarnation.empty() ? name + "-first" : incarnation);
        member.address = name + ":7000";
        member.zone = "hall-a";
        member.region = "south-central";
        member.sequence = ++m_sequence;
        return member;
    }

    void sendHeartbeat(const std::string &name, const std::string &incarnation = "")
    {
        m_membership.applyHeartbeat(memberOf(name, incarnation), m_timers.now());
    }

    void sendHeartbeats(int n)
    {
        for (int i = 0; i < n; ++i) {
            sendHeartbeat("entry-" + std::to_string(i));
        }
    }

    void advanceTime(Duration span)
    {
        m_timers.advance(span);
        m_membership.updateLiveness(m_timers.now());
    }

    std::vector<std::string> live() const
    {
        std::vector<std::string> addresses;
        for (const EntryMember &member : m_membership.liveEntries("south-central")) {
            addresses.push_back(member.address);
        }
        return addresses;
    }

    bool isDead(const std::string &incarnation, const std::string &address = "") const
    {
        return m_membership.isDead(IncarnationId(incarnation), m_timers.now(), address);
    }

    std::map<std::uint32_t, std::string> homes() const
    {
        std::map<std::uint32_t, std::string> homes;
        for (std::uint32_t shard = 0; shard < kShards; ++shard) {
            homes[shard] = m_membership.homeOf(shard, "south-central")->address;
        }
        return homes;
    }

    static std::vector<EndpointId> endpoints(int n)
    {
        std::vector<EndpointId> endpoints;
        for (int i = 0; i < n; ++i) {
            endpoints.emplace_back("endpoint-" + std::to_string(i));
        }
        return endpoints;
    }

    static constexpr std::uint32_t kShards = 4096;
    std::uint64_t m_sequence = 0;
    VirtualTimerService m_timers;
    ManualTaskQueue m_tasks;
    FleetMembership m_membership{m_tasks, m_timers.now()};
};

TEST_F(FleetMembershipTest, liveEntries_sendingHeartbeatsAndNotLeaving_areSortedByAddress)
{
    sendHeartbeat("b");
    sendHeartbeat("a");
    EntryMember leaving = memberOf("c");
    leaving.isLeaving = true;
    m_membership.applyHeartbeat(leaving, m_timers.now());

    EXPECT_EQ(live(), (std::vector<std::string>{"a:7000", "b:7000"}));
    EXPECT_EQ(m_membership.liveCount("mu-plaines"), 0u);
    EXPECT_EQ(m_membership.rankOf(IncarnationId("b-first")), 1u);
    EXPECT_EQ(m_membership.rankOf(IncarnationId("c-first")), std::nullopt);
}

TEST_F(FleetMembershipTest, liveEntries_silentUnreachableOrListedAsLeaving_areLeftOut)
{
    sendHeartbeat("a");
    sendHeartbeat("b");
    sendHeartbeat("c");
    m_membership.markUnreachable(IncarnationId("a-first"), m_timers.now());
    m_membership.applyListed("b:7000", true, m_timers.now());
    EXPECT_EQ(live(), (std::vector<std::string>{"c:7000"}));

    advanceTime(3s);
    EXPECT_TRUE(live().empty());
    sendHeartbeat("c");
    EXPECT_EQ(live(), (std::vector<std::string>{"c:7000"}));
}

// During a rolling restart, the list lags and still shows that the earlier incarnation is leaving.
TEST_F(FleetMembershipTest, liveEntries_restartedWhileListedAsLeaving_isLiveUntilListLagIsOver)
{
    sendHeartbeat("a", "first");
    m_membership.applyListed("a:7000", true, m_timers.now());
    sendHeartbeat("a", "second");
    m_membership.applyListed("a:7000", true, m_timers.now());
    EXPECT_EQ(live(), (std::vector<std::string>{"a:7000"}));

    advanceTime(10s);
    sendHeartbeat("a", "second");
    EXPECT_TRUE(live().empty());
}

TEST_F(FleetMembershipTest, applyHeartbeat_oldSequence_isIgnored)
{
    const EntryMember early = memberOf("a");
    EntryMember late = memberOf("a");
    late.isLeaving = true;
    m_membership.applyHeartbeat(late, m_timers.now());

    EXPECT_FALSE(m_membership.applyHeartbeat(early, m_timers.now()));
    EXPECT_TRUE(live().empty());
}

TEST_F(FleetMembershipTest, subscribe_memberComesAndGoes_notifiesThroughTaskQueue)
{
    int changes = 0;
    m_membership.subscribe([&changes] {
        ++changes;
    });
    sendHeartbeat("a");
    EXPECT_EQ(changes, 0);
    m_tasks.runAll();
    EXPECT_EQ(changes, 1);

    sendHeartbeat("a");
    advanceTime(1s);
    m_tasks.runAll();
    EXPECT_EQ(changes, 1);

    advanceTime(2s);
    m_tasks.runAll();
    EXPECT_EQ(changes, 2);
}

// One of a hundred entry processes goes away. If shards other than its own moved, every restart would make all homes
// take new portions of the budgets and leave the old ones unused.
TEST_F(FleetMembershipTest, homeOf_oneEntryRemoved_onlyItsShardsMove)
{
    sendHeartbeats(100);
    const std::map<std::uint32_t, std::string> before = homes();
    m_membership.markUnreachable(IncarnationId("entry-7-first"), m_timers.now());
    const std::map<std::uint32_t, std::string> after = homes();

    for (const auto &[shard, home] : before) {
        EXPECT_EQ(home != after.at(shard), home == "entry-7:7000");
    }
}

TEST_F(FleetMembershipTest, homeOf_hundredEntries_shardsAreSpreadEvenly)
{
    sendHeartbeats(100);
    std::map<std::string, int> counts;
    for (const auto &[shard, home] : homes()) {
        ++counts[home];
    }

    EXPECT_EQ(counts.size(), 100u);
    for (const auto &[home, n] : counts) {
        EXPECT_LE(n, 2 * 4096 / 100) << home;
    }
}

TEST_F(FleetMembershipTest, homeOf_noEntryInRegion_isNone)
{
    EXPECT_FALSE(m_membership.homeOf(1, "south-central").has_value());
}

// Two regions cannot reach each other for minutes. The entry processes of the other region are silent, but the platform
// still lists them: they are alive and spend from their portions. If they counted as dead, their portions would be
// closed while in use and their callers would be refused.
TEST_F(FleetMembershipTest, isDead_silentForMinutesButListed_isNotDead)
{
    sendHeartbeat("a");
    m_membership.applyListed("a:7000", false, m_timers.now());
    advanceTime(5min);
    EXPECT_TRUE(live().empty());
    EXPECT_FALSE(isDead("a-first"));

    m_membership.applyUnlisted("a:7000", m_timers.now());
    EXPECT_TRUE(isDead("a-first"));
}

// The list does not contain an entry process that is alive.
TEST_F(FleetMembershipTest, isDead_unlistedButSendingHeartbeats_isNotDead)
{
    sendHeartbeat("a");
    m_membership.applyUnlisted("a:7000", m_timers.now());
    advanceTime(29s);

    EXPECT_FALSE(isDead("a-first"));
}

// An entry process crashes and is restarted at its address within a second. The list never shows that. But two
// processes cannot listen at the same address, so the earlier incarnation is dead and its portions can be closed soon.
TEST_F(FleetMembershipTest, isDead_laterIncarnationAtSameAddress_isDeadAfterSuspectTime)
{
    sendHeartbeat("a", "first");
    m_membership.applyListed("a:7000", false, m_timers.now());
    advanceTime(1s);
    sendHeartbeat("a", "second");
    sendHeartbeat("a", "first");
    EXPECT_EQ(live(), (std::vector<std::string>{"a:7000"}));

    advanceTime(2s);
    EXPECT_TRUE(isDead("first"));
    EXPECT_FALSE(isDead("second"));
}

// This process has just started and finds a portion of an incarnation from which it never got a heartbeat. That alone
// proves nothing: the holder may be in a region that cannot be reached.
TEST_F(FleetMembershipTest, isDead_noHeartbeatEver_dependsOnListAndTakesLonger)
{
    m_membership.applyListed("far:7000", false, m_timers.now());
    advanceTime(5min);

    EXPECT_FALSE(isDead("far-first", "far:7000"));
    EXPECT_TRUE(isDead("gone-first", "gone:7000"));
    EXPECT_FALSE(isDead("nameless"));
    advanceTime(5min);
    EXPECT_TRUE(isDead("nameless"));
}

TEST_F(FleetMembershipTest, isDead_silentRule_ignoresTheList)
{
    FleetMembership membership(m_tasks, m_timers.now(), {.deathRule = DeathRule::Silent});
    membership.applyHeartbeat(memberOf("a"), m_timers.now());
    membership.applyListed("a:7000", false, m_timers.now());
    m_timers.advance(30s);

    EXPECT_TRUE(membership.isDead(IncarnationId("a-first"), m_timers.now()));
}

TEST_F(FleetMembershipTest, watchersOfZone_manyEntries_areFewAndStayWhenOneIsRemoved)
{
    sendHeartbeats(80);
    const std::vector<EntryMember> watchers = m_membership.watchersOfZone("hall-a", 2);
    ASSERT_EQ(watchers.size(), 2u);

    m_membership.markUnreachable(watchers[0].incarnation, m_timers.now());
    const std::vector<EntryMember> next = m_membership.watchersOfZone("hall-a", 2);
    ASSERT_EQ(next.size(), 2u);
    EXPECT_EQ(next[0], watchers[1]);
    EXPECT_TRUE(m_membership.watchersOfZone("hall-b", 2).empty());
}

TEST_F(FleetMembershipTest, subsetOf_fewEndpoints_returnsAll)
{
    sendHeartbeats(3);

    EXPECT_EQ(m_membership.subsetOf(endpoints(12), IncarnationId("entry-0-first"), 24), endpoints(12));
}

// 205 entry processes of a region use 650 endpoints, and each keeps connections to about 60 of them. An endpoint that
// few entry processes cover would be idle; one that all of them cover would get the control traffic of a full mesh.
TEST_F(FleetMembershipTest, subsetOf_manyEndpoints_coversEachEquallyOften)
{
    sendHeartbeats(205);
    std::map<EndpointId, int> coverage;
    for (int i = 0; i < 205; ++i) {
        const IncarnationId me("entry-" + std::to_string(i) + "-first");
        const std::vector<EndpointId> subset = m_membership.subsetOf(endpoints(650), me, 60);
        EXPECT_GE(subset.size(), 30u);
        EXPECT_LE(subset.size(), 90u);
        for (const EndpointId &endpoint : subset) {
            ++coverage[endpoint];
        }
    }

    EXPECT_EQ(coverage.size(), 650u);
    for (const auto &[endpoint, n] : coverage) {
        EXPECT_EQ(n, 19);
    }
}

TEST_F(FleetMembershipTest, subsetOf_oneEntryRemoved_othersChangeLittle)
{
    sendHeartbeats(100);
    const IncarnationId me("entry-1-first");
    const std::vector<EndpointId> before = m_membership.subsetOf(endpoints(650), me, 60);
    m_membership.markUnreachable(IncarnationId("entry-7-first"), m_timers.now());
    const std::vector<EndpointId> after = m_membership.subsetOf(endpoints(650), me, 60);

    const std::set<EndpointId> now(after.begin(), after.end());
    for (const EndpointId &endpoint : before) {
        EXPECT_TRUE(now.contains(endpoint));
    }
    EXPECT_LE(after.size(), before.size() + 8);
}
