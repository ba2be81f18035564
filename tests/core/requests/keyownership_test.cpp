#include "base/failure.h"
#include "manualtaskqueue.h"
#include "memoryentrydirectory.h"
#include "memoryobjectstore.h"
#include "requests/keyownership.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <vector>

using namespace RadishSwitch;

namespace
{

constexpr std::uint32_t kShard = 7;

}

class KeyOwnershipTest : public testing::Test
{
protected:
    struct Entry {
        std::unique_ptr<KeyOwnership> ownership;
        std::vector<std::uint32_t> lost;
    };

    /// An entry that receives changes of the store only if it watches.
    std::unique_ptr<Entry> makeEntry(const std::string &name, bool isWatching = false)
    {
        KeyOwnershipSettings settings;
        settings.isWatching = isWatching;
        auto entry = std::make_unique<Entry>();
        const KeyOwner self{IncarnationId(name), name + ":1", "south-central", 0};
        entry->ownership = std::make_unique<KeyOwnership>(m_store, m_timers, m_random, m_directory, self, settings,
                                                          [lost = &entry->lost](std::uint32_t shard) {
                                                              lost->push_back(shard);
                                                          });
        return entry;
    }

    absl::StatusOr<KeyOwner> acquire(Entry &entry)
    {
        std::optional<absl::StatusOr<KeyOwner>> answer;
        entry.ownership->acquire(kShard, [&](const auto &owner) {
            answer = owner;
        });
        m_tasks.runAll();
        return *answer;
    }

    absl::Status confirm(Entry &entry)
    {
        std::optional<absl::Status> answer;
        entry.ownership->confirm(kShard, [&](const absl::Status &status) {
            answer = status;
        });
        m_tasks.runAll();
        return *answer;
    }

    void setDead(const std::string &name)
    {
        m_directory.setLiveness(IncarnationId(name), EntryLiveness::Dead);
    }

    ManualTaskQueue m_tasks;
    VirtualTimerService m_timers;
    MemoryObjectStore m_store{m_tasks};
    SeededRandom m_random;
    MemoryEntryDirectory m_directory;
    std::unique_ptr<Entry> m_first = makeEntry("first");
    std::unique_ptr<Entry> m_second = makeEntry("second");
};

TEST_F(KeyOwnershipTest, acquire_neverOwned_takesFirstEpoch)
{
    const auto owner = acquire(*m_first);

    ASSERT_TRUE(owner.ok());
    EXPECT_EQ(owner->epoch, 1u);
    EXPECT_EQ(m_first->ownership->epochOf(kShard), 1u);
}

TEST_F(KeyOwnershipTest, acquire_ownerAlive_isRedirectedWithUnknownOutcome)
{
    ASSERT_TRUE(acquire(*m_first).ok());

    const auto owner = acquire(*m_second);

    EXPECT_EQ(failureCode(owner.status()), FailureCode::HomeElsewhere);
    EXPECT_EQ(outcomeOf(owner.status()), RunOutcome::Unknown);
    EXPECT_EQ(m_second->ownership->ownerOf(kShard)->address, "first:1");
}

TEST_F(KeyOwnershipTest, acquire_ownerUnreachable_outcomeIsUnknownWithRetryAfter)
{
    ASSERT_TRUE(acquire(*m_first).ok());
    m_directory.setLiveness(IncarnationId("first"), EntryLiveness::Unreachable);

    const auto owner = acquire(*m_second);

    EXPECT_EQ(failureCode(owner.status()), FailureCode::OutcomeUnknown);
    EXPECT_EQ(outcomeOf(owner.status()), RunOutcome::Unknown);
    EXPECT_TRUE(retryAfterOf(owner.status()).has_value());
}

// The owner is paused for minutes and considered dead, and another entry takes over its shard. When the first owner
// resumes, it believes that it owns the shard until its next check reads the record. This is safe because agents refuse
// its epoch; the check ends its useless grants.
TEST_F(KeyOwnershipTest, check_takenOverWhilePaused_reportsLossOnce)
{
    ASSERT_TRUE(acquire(*m_first).ok());
    setDead("first");
    ASSERT_EQ(acquire(*m_second)->epoch, 2u);
    EXPECT_EQ(m_first->ownership->epochOf(kShard), 1u);

    m_timers.advance(KeyOwnershipSettings().checkInterval);
    m_tasks.runAll();

    EXPECT_EQ(m_first->ownership->epochOf(kShard), std::nullopt);
    EXPECT_EQ(m_first->lost, std::vector<std::uint32_t>{kShard});
    EXPECT_EQ(m_second->ownership->epochOf(kShard), 2u);
}

// An agent refuses a run because of a stale epoch before the owner's next periodic check. The owner reads the record at
// once.
TEST_F(KeyOwnershipTest, noteStaleEpoch_shardTakenOver_detectsLossAtOnce)
{
    ASSERT_TRUE(acquire(*m_first).ok());
    setDead("first");
    ASSERT_TRUE(acquire(*m_second).ok());

    m_first->ownership->noteStaleEpoch(kShard, 1);
    m_tasks.runAll();

    EXPECT_EQ(m_first->ownership->epochOf(kShard), std::nullopt);
}

// The write that takes over a shard takes effect, but its answer is lost. The entry reads the record, finds its own
// incarnation, and owns the shard under the epoch that it wrote. It must not write a second epoch.
TEST_F(KeyOwnershipTest, acquire_answerOfWriteLost_readsRecordAndOwns)
{
    ASSERT_TRUE(acquire(*m_first).ok());
    setDead("first");
    m_store.loseAnswersOfNextWrites(1);

    const auto owner = acquire(*m_second);

    ASSERT_TRUE(owner.ok());
    EXPECT_EQ(owner->epoch, 2u);
    EXPECT_EQ(m_store.writes(), 2);
}

// Two entries find the owner dead at the same time and both write. The store accepts one write; the other entry reads
// the record again and is refused with the winner as the owner.
TEST_F(KeyOwnershipTest, acquire_twoAtOnce_oneOwnsAndOtherIsRefused)
{
    ASSERT_TRUE(acquire(*m_first).ok());
    setDead("first");
    const auto third = makeEntry("third");
    std::vector<absl::StatusOr<KeyOwner>> answers;
    for (Entry *entry : {m_second.get(), third.get()}) {
        entry->ownership->acquire(kShard, [&](const auto &owner) {
            answers.push_back(owner);
        });
    }
    m_tasks.runAll();

    ASSERT_EQ(answers.size(), 2u);
    EXPECT_NE(answers[0].ok(), answers[1].ok());
    EXPECT_NE(m_second->ownership->epochOf(kShard).has_value(), third->ownership->epochOf(kShard).has_value());
}

// The store is unavailable for an hour. An owner keeps its shard, because nobody can have taken it over.
TEST_F(KeyOwnershipTest, check_storeUnavailable_ownerStaysOwner)
{
    ASSERT_TRUE(acquire(*m_first).ok());
    m_store.setUnavailable(true);

    m_timers.advance(std::chrono::hours(1));
    m_tasks.runAll();

    EXPECT_EQ(m_first->ownership->epochOf(kShard), 1u);
    EXPECT_TRUE(m_first->lost.empty());
    EXPECT_EQ(failureCode(confirm(*m_first)), FailureCode::StoreUnavailable);
}

TEST_F(KeyOwnershipTest, confirm_stillOwner_isOk)
{
    ASSERT_TRUE(acquire(*m_first).ok());

    EXPECT_TRUE(confirm(*m_first).ok());
}

// A read that is in progress when a second refusal needs its proof began too early to prove it. The second refusal
// waits for a new read, which it shares with all that arrive meanwhile.
TEST_F(KeyOwnershipTest, confirm_duringRead_waitsForOneLaterRead)
{
    ASSERT_TRUE(acquire(*m_first).ok());
    const int before = m_store.calls();
    int confirmed = 0;
    for (int n = 0; n < 5; ++n) {
        m_first->ownership->confirm(kShard, [&](const absl::Status &status) {
            confirmed += status.ok();
        });
    }
    m_tasks.runAll();

    EXPECT_EQ(confirmed, 5);
    EXPECT_EQ(m_store.calls() - before, 2);
}

TEST_F(KeyOwnershipTest, handOver_plannedShutdown_nextOwnerGetsNextEpoch)
{
    ASSERT_TRUE(acquire(*m_first).ok());
    bool isDone = false;
    m_first->ownership->handOver([&] {
        isDone = true;
    });
    m_tasks.runAll();

    const auto owner = acquire(*m_second);

    EXPECT_TRUE(isDone);
    ASSERT_TRUE(owner.ok());
    EXPECT_EQ(owner->epoch, 2u);
    EXPECT_EQ(m_first->ownership->epochOf(kShard), std::nullopt);
}

TEST_F(KeyOwnershipTest, watch_shardTakenOver_reportsLossWithoutRead)
{
    const auto watcher = makeEntry("watcher", true);
    m_tasks.runAll();
    ASSERT_TRUE(acquire(*watcher).ok());
    setDead("watcher");
    ASSERT_TRUE(acquire(*m_second).ok());
    m_tasks.runAll();

    EXPECT_EQ(watcher->lost, std::vector<std::uint32_t>{kShard});
    EXPECT_EQ(watcher->ownership->ownerOf(kShard)->address, "second:1");
}

// Two regions are partitioned, and thousands of requests per second reach entries that cannot reach the shard's owner.
// The owner is known from the watch, so these requests must not cause calls to the store.
TEST_F(KeyOwnershipTest, acquire_ownerKnownFromWatch_makesNoStoreCall)
{
    ASSERT_TRUE(acquire(*m_first).ok());
    const auto watcher = makeEntry("watcher", true);
    m_tasks.runAll();
    m_directory.setLiveness(IncarnationId("first"), EntryLiveness::Unreachable);
    const int before = m_store.calls();

    for (int n = 0; n < 1000; ++n) {
        EXPECT_EQ(failureCode(acquire(*watcher).status()), FailureCode::OutcomeUnknown);
    }

    EXPECT_EQ(m_store.calls(), before);
}

// The store is unavailable when the entry starts, and for an hour after. The entry retries with backoff and learns the
// owners when the store is available again.
TEST_F(KeyOwnershipTest, watch_storeUnavailableForAnHour_backsOffAndRecovers)
{
    constexpr int kSeconds = 3600;
    constexpr int kCalls = 600;
    ASSERT_TRUE(acquire(*m_first).ok());
    m_store.setUnavailable(true);
    const auto watcher = makeEntry("watcher", true);
    const int before = m_store.calls();
    for (int n = 0; n < kSeconds; ++n) {
        m_timers.advance(std::chrono::seconds(1));
        m_tasks.runAll();
    }
    // The first owner also reads its own record twice a minute during that time.
    EXPECT_LT(m_store.calls() - before, kCalls + kSeconds / 30);

    m_store.setUnavailable(false);
    m_timers.advance(std::chrono::seconds(20));
    m_tasks.runAll();

    ASSERT_TRUE(watcher->ownership->ownerOf(kShard).has_value());
    EXPECT_EQ(watcher->ownership->ownerOf(kShard)->address, "first:1");
}

// The connection of a watch stops delivering changes without failing. The entry must not wait for it for ever, but list
// the owners again.
TEST_F(KeyOwnershipTest, watch_silentForGood_isReplaced)
{
    const auto watcher = makeEntry("watcher", true);
    m_tasks.runAll();
    m_store.dropWatches();
    ASSERT_TRUE(acquire(*m_first).ok());
    for (int n = 0; n < 4; ++n) {
        m_timers.advance(KeyOwnershipSettings().checkInterval);
        m_tasks.runAll();
    }

    ASSERT_TRUE(watcher->ownership->ownerOf(kShard).has_value());
    EXPECT_EQ(watcher->ownership->ownerOf(kShard)->address, "first:1");
}
