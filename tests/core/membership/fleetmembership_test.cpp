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

TEST_F(FleetMembershipTest, liveEntries_heardAndNotLeaving_areListedByAddress)
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

TEST_F(FleetMembershipTest, liveEntries_silentLostOrListedAsLeaving_areLeftOut)
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

// A rolling restart: the list lags and still shows the leaving of the incarnation before.
TEST_F(FleetMembershipTest, liveEntries_restartedWhileListSaysLeaving_isLiveUntilListCannotLag)
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

TEST_F(FleetMembershipTest, subscribe_memberComesAndGoes_toldThroughTheTaskQueue)
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

// One entry of a hundred goes. If more than its own shards moved, every restart would make homes take fresh portions
// for budgets all over, and strand the old ones.
TEST_F(FleetMembershipTest, homeOf_oneEntryGoes_onlyItsShardsMove)
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

// The regions lose each other for minutes. Entries over there are silent, but the platform still lists them: they live
// and spend from their portions. Held for dead, their portions would be closed under them and their callers refused.
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

// The list lacks an entry that lives.
TEST_F(FleetMembershipTest, isDead_unlistedButHeard_isNotDead)
{
    sendHeartbeat("a");
    m_membership.applyUnlisted("a:7000", m_timers.now());
    advanceTime(29s);

    EXPECT_FALSE(isDead("a-first"));
}

// An entry crashes and is started again at its address within a second. The list never notices, but a second process
// can't listen at the address of a first: the earlier incarnation is dead, and its portions need not wait.
TEST_F(FleetMembershipTest, isDead_addressHasALaterIncarnation_isDeadSoon)
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

// This process has just started and finds a portion of an incarnation that it has never heard of. That alone proves
// nothing: its holder may be in the region that can't be reached.
TEST_F(FleetMembershipTest, isDead_neverHeardOf_goesByTheListAndTakesLong)
{
    m_membership.applyListed("far:7000", false, m_timers.now());
    advanceTime(5min);

    EXPECT_FALSE(isDead("far-first", "far:7000"));
    EXPECT_TRUE(isDead("gone-first", "gone:7000"));
    EXPECT_FALSE(isDead("nameless"));
    advanceTime(5min);
    EXPECT_TRUE(isDead("nameless"));
}

TEST_F(FleetMembershipTest, isDead_ruleOfSilence_goesBySilenceAlone)
{
    FleetMembership membership(m_tasks, m_timers.now(), {.deathRule = DeathRule::Silent});
    membership.applyHeartbeat(memberOf("a"), m_timers.now());
    membership.applyListed("a:7000", false, m_timers.now());
    m_timers.advance(30s);

    EXPECT_TRUE(membership.isDead(IncarnationId("a-first"), m_timers.now()));
}

TEST_F(FleetMembershipTest, watchersOfZone_manyEntries_areFewAndStayWhenOthersGo)
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

TEST_F(FleetMembershipTest, subsetOf_fewEndpoints_isEverything)
{
    sendHeartbeats(3);

    EXPECT_EQ(m_membership.subsetOf(endpoints(12), IncarnationId("entry-0-first"), 24), endpoints(12));
}

// 205 entries of a region before 650 endpoints, each entry to keep about 60. An endpoint that few entries cover would
// stand idle; one that all cover would have the control traffic of the full mesh.
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

TEST_F(FleetMembershipTest, subsetOf_oneEntryGoes_othersChangeLittle)
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
