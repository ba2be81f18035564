#include "table/tablefollower.h"

#include "faultyobjectstore.h"
#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <set>

using namespace RadishSwitch;
using namespace std::chrono_literals;

namespace
{

/// Peers that answer a pull out of another follower, or not at all.
class FakePeers : public TablePeerPort
{
public:
    explicit FakePeers(TaskQueue &tasks)
        : m_tasks(tasks)
    {
    }

    void pullTable(const std::string &peer, std::uint64_t fromRevision,
                   std::function<void(absl::StatusOr<std::string>)> callback) override
    {
        pulls.push_back(peer);
        if (silent.contains(peer)) {
            return;
        }
        const std::string bytes = forged.empty() ? source->documentSince(fromRevision) : forged;
        lastBytes = bytes.size();
        m_tasks.post([callback = std::move(callback), bytes] {
            callback(bytes);
        });
    }

    TableFollower *source = nullptr;
    std::string forged;
    std::set<std::string> silent;
    std::vector<std::string> pulls;
    std::size_t lastBytes = 0;

private:
    TaskQueue &m_tasks;
};

TableDocument tableAt(std::uint64_t revision, std::int64_t share = 100)
{
    TableDocument document;
    document.revision = revision;
    OrganisationRow row;
    row.name = OrganisationId("blinds");
    row.share = share;
    row.rowVersion = revision;
    document.rows.put(row);
    return document;
}

/// The next revision, with a record that tells of it.
TableDocument after(const TableDocument &document, std::int64_t share)
{
    const std::uint64_t revision = document.revision + 1;
    TableRows rows = tableAt(revision, share).rows;
    AuditRecord record;
    record.changeId = "change-" + std::to_string(revision);
    record.revision = revision;
    record.changes = differencesBetween(document.rows, rows);
    return document.withChange(std::move(rows), std::move(record));
}

class TableFollowerTest : public testing::Test
{
protected:
    void write(const TableDocument &document)
    {
        const auto it = m_store.objects().find(kTableKey);
        const std::uint64_t version = it == m_store.objects().end() ? 0 : it->second.version;
        m_store.put(kTableKey, document.encode(), version, [](const auto &) {});
        m_tasks.runAll();
    }

    void pass(Duration span)
    {
        constexpr Duration kStep = 10ms;
        for (Duration passed{}; passed < span; passed += kStep) {
            m_tasks.runAll();
            m_timers.advance(kStep);
        }
        m_tasks.runAll();
    }

    void startWatching(TableFollower &follower)
    {
        follower.setWatching(true);
        follower.start();
        m_tasks.runAll();
    }

    static std::int64_t shareIn(const TableFollower &follower)
    {
        return follower.current()->rows().organisations.at(0).share;
    }

    VirtualTimerService m_timers;
    ManualTaskQueue m_tasks;
    SeededRandom m_random;
    MemoryObjectStore m_store{m_tasks};
    FaultyObjectStore m_path{m_store, m_tasks};
    FakePeers m_peers{m_tasks};
    TableFollower m_follower{m_path, m_timers, m_tasks, m_random, m_peers};
    TableFollower m_peer{m_store, m_timers, m_tasks, m_random, m_peers};
};

}

TEST_F(TableFollowerTest, watch_tableChanged_isInForceWithoutWaiting)
{
    write(tableAt(1));
    startWatching(m_follower);
    ASSERT_EQ(m_follower.current()->revision(), 1u);

    write(tableAt(2, 300));

    EXPECT_EQ(m_follower.current()->revision(), 2u);
    EXPECT_EQ(shareIn(m_follower), 300);
}

TEST_F(TableFollowerTest, list_answersFromThePast_neverRevert)
{
    // A process has revision 2. Its connection breaks and the store, put together anew, answers reads and watches from
    // before that change, over and over. Taking the older table would revert an accepted change.
    write(tableAt(1, 100));
    startWatching(m_follower);
    write(tableAt(2, 300));
    ASSERT_EQ(m_follower.current()->revision(), 2u);

    for (int n = 0; n < 100; ++n) {
        m_path.forgeLists(kTableKey, tableAt(1, 100).encode(), 1000 + n);
        pass(1s);
        ASSERT_EQ(m_follower.current()->revision(), 2u);
        ASSERT_EQ(shareIn(m_follower), 300);
    }
    EXPECT_GT(m_follower.status().staleIgnored, 20u);
}

TEST_F(TableFollowerTest, watch_ofALargeTable_isAskedAnewLessOften)
{
    TableDocument large = tableAt(1);
    large.recent.resize(1);
    large.recent[0].why = std::string(500'000, 'x');
    write(large);
    startWatching(m_follower);
    pass(60s);

    EXPECT_LE(m_path.watches(), 6);
    EXPECT_EQ(m_path.lists(), 1);
}

TEST_F(TableFollowerTest, offer_olderTableOfAPeer_neverReverts)
{
    // A peer that was cut off for an hour offers what it still holds, whole, after the newer table arrived.
    write(tableAt(5, 500));
    startWatching(m_follower);

    EXPECT_TRUE(m_follower.offer(9, tableAt(4, 400).encode()).ok());

    EXPECT_EQ(m_follower.current()->revision(), 5u);
    EXPECT_EQ(shareIn(m_follower), 500);
}

TEST_F(TableFollowerTest, watch_answersWithOldNewsWithoutEnd_isNotAskedWithoutEnd)
{
    write(tableAt(3));
    startWatching(m_follower);
    m_path.forgeLists(kTableKey, tableAt(1).encode(), 1);
    const int before = m_path.watches() + m_path.lists();

    pass(60s);

    EXPECT_LT(m_path.watches() + m_path.lists() - before, 150);
}

TEST_F(TableFollowerTest, watch_connectionSilent_asksAnewAndCatchesUp)
{
    // The watch's connection goes silent for good while new ones work. No answer and no failure ever comes; the
    // follower gives the watch up at its own deadline and asks on a new call.
    write(tableAt(1));
    m_follower.setWatching(true);
    m_follower.start();
    m_path.setSilent(true);
    m_tasks.runAll();
    ASSERT_EQ(m_path.watches(), 1);
    m_path.setSilent(false);
    write(tableAt(2));
    ASSERT_EQ(m_follower.current()->revision(), 1u);

    pass(6s);

    EXPECT_EQ(m_follower.current()->revision(), 2u);
}

TEST_F(TableFollowerTest, watch_silentForEver_keepsTryingAtABoundedRate)
{
    m_path.setSilent(true);
    startWatching(m_follower);

    pass(60s);

    EXPECT_GE(m_path.lists(), 12);
    EXPECT_LE(m_path.lists(), 30);
}

TEST_F(TableFollowerTest, outage_ofTheStore_leavesTheLastTableInForce)
{
    write(tableAt(7, 700));
    startWatching(m_follower);
    m_store.setUnavailable(true);
    pass(3600s);

    EXPECT_EQ(m_follower.current()->revision(), 7u);
    EXPECT_FALSE(m_follower.status().isStoreAnswering);
    m_store.setUnavailable(false);
    write(tableAt(8, 800));
    pass(5s);
    EXPECT_EQ(m_follower.current()->revision(), 8u);
}

TEST_F(TableFollowerTest, start_inAnOutage_learnsTheTableFromAPeer)
{
    // A process starts while the store is away. A peer's heartbeat tells of revision 7; the process pulls it.
    write(tableAt(7, 700));
    startWatching(m_peer);
    m_peers.source = &m_peer;
    m_store.setUnavailable(true);
    m_follower.start();
    pass(2s);
    ASSERT_EQ(m_follower.current()->revision(), 0u);

    m_follower.peerHasRevision(7, "peer");
    pass(10ms);

    EXPECT_EQ(m_follower.current()->revision(), 7u);
    EXPECT_EQ(shareIn(m_follower), 700);
}

TEST_F(TableFollowerTest, pull_peerSaysNothing_asksAnother)
{
    write(tableAt(7));
    startWatching(m_peer);
    m_peers.source = &m_peer;
    m_peers.silent = {"dead"};
    m_follower.start();

    m_follower.peerHasRevision(7, "dead");
    m_follower.peerHasRevision(7, "alive");
    pass(1s);

    EXPECT_EQ(m_follower.current()->revision(), 7u);
}

TEST_F(TableFollowerTest, pull_oneRevisionBehind_takesADelta)
{
    const TableDocument first = tableAt(1);
    write(first);
    startWatching(m_peer);
    m_peers.source = &m_peer;
    ASSERT_TRUE(m_follower.offer(1, m_peer.documentSince(0)).ok());
    const TableDocument second = after(first, 300);
    write(second);
    m_follower.start();

    m_follower.peerHasRevision(2, "peer");
    pass(10ms);

    EXPECT_TRUE(TableDelta::isDelta(m_peer.documentSince(1)));
    EXPECT_EQ(m_follower.current()->rows(), second.rows);
    EXPECT_EQ(m_follower.documentSince(1), m_peer.documentSince(1));
}

TEST_F(TableFollowerTest, pull_deltaLeadsToOtherRows_takesTheWholeTable)
{
    // A peer of another version reads a cell otherwise, so that its delta leads to other rows here. Two processes would
    // then differ at one revision for ever.
    const TableDocument first = tableAt(1);
    const TableDocument second = after(first, 300);
    write(second);
    startWatching(m_peer);
    m_peers.source = &m_peer;
    ASSERT_TRUE(m_follower.offer(1, first.encode()).ok());
    m_follower.start();
    TableDelta delta = *TableDelta::decode(m_peer.documentSince(1));
    delta.rowsDigest += 1;
    m_peers.forged = delta.encode();

    m_follower.peerHasRevision(2, "peer");
    pass(10ms);
    EXPECT_EQ(m_follower.current()->revision(), 1u);
    m_peers.forged.clear();
    m_follower.peerHasRevision(2, "peer");
    pass(10ms);

    EXPECT_EQ(m_follower.current()->rows(), second.rows);
}

TEST_F(TableFollowerTest, process_thatHearsPeers_leavesTheStoreAlone)
{
    write(tableAt(1));
    startWatching(m_peer);
    m_peers.source = &m_peer;
    m_follower.start();
    m_follower.peerHasRevision(1, "peer");
    for (int n = 0; n < 120; ++n) {
        pass(500ms);
        m_follower.peerHasRevision(1, "peer");
    }

    EXPECT_EQ(m_path.lists() + m_path.watches(), 0);
    EXPECT_EQ(m_follower.current()->revision(), 1u);
}

TEST_F(TableFollowerTest, process_thatHearsNoPeer_asksTheStore)
{
    write(tableAt(1));
    m_follower.start();
    pass(2s);

    EXPECT_EQ(m_follower.current()->revision(), 1u);
}

TEST_F(TableFollowerTest, watch_tableRemovedOrMalformed_leavesTheLastInForce)
{
    write(tableAt(4));
    startWatching(m_follower);
    m_path.forgeLists(kTableKey, "{\"revision\": 99", 50);
    pass(10s);
    m_path.forgeLists(kTableKey, "", 0);
    pass(10s);

    EXPECT_EQ(m_follower.current()->revision(), 4u);
    EXPECT_GT(m_follower.status().malformedIgnored, 0u);
}

TEST_F(TableFollowerTest, offer_rubbish_isATypedFailure)
{
    for (const char *bytes : {"{", "[]", "{\"format\":1}", "{\"from_revision\":\"x\"}", "\xff\xfe", "null"}) {
        EXPECT_EQ(failureCode(m_follower.offer(9, bytes)), FailureCode::ObjectMalformed) << bytes;
    }
    EXPECT_EQ(m_follower.current()->revision(), 0u);
}

TEST_F(TableFollowerTest, subscribe_severalTables_comeInOrderAndEndWithTheLast)
{
    std::vector<std::uint64_t> seen;
    write(tableAt(1));
    startWatching(m_follower);
    const auto id = m_follower.subscribe([&seen](const SteeringTablePointer &table) {
        seen.push_back(table->revision());
    });
    m_tasks.runAll();
    write(tableAt(2));
    ASSERT_TRUE(m_follower.offer(3, tableAt(3).encode()).ok());
    ASSERT_TRUE(m_follower.offer(4, tableAt(4).encode()).ok());
    m_tasks.runAll();
    m_follower.unsubscribe(id);
    write(tableAt(5));

    EXPECT_EQ(seen, (std::vector<std::uint64_t>{1, 2, 4}));
}
