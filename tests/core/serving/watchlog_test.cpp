#include "base/failure.h"
#include "serving/watchlog.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class WatchLogTest : public testing::Test
{
protected:
    /// Watches, and keeps the answers in the order in which they come.
    void watchFrom(std::uint64_t fromVersion)
    {
        log.watch(fromVersion, [this](const absl::StatusOr<StoreChanges> &changes) {
            answers.push_back(changes);
        });
    }

    static StoreChanges changes(std::vector<StoredObject> objects, std::uint64_t version)
    {
        return StoreChanges{std::move(objects), version};
    }

    WatchLog log;
    std::vector<absl::StatusOr<StoreChanges>> answers;
};

TEST_F(WatchLogTest, noteChanges_earlierAndLaterWatch_bothGetChange)
{
    log.noteListed(changes({}, 10));
    watchFrom(10);
    EXPECT_TRUE(answers.empty());
    log.noteChanges(changes({{"config/main", "v2", 12}}, 12));
    watchFrom(10);
    ASSERT_EQ(answers.size(), 2U);
    for (const auto &answer : answers) {
        ASSERT_TRUE(answer.ok());
        EXPECT_EQ(answer->nextVersion, 12U);
        ASSERT_EQ(answer->objects.size(), 1U);
        EXPECT_EQ(answer->objects.front().value, "v2");
    }
}

// Guards against waiting gateways that take a quiet store for a lost one: an answer of the store without changes is
// passed on to them.
TEST_F(WatchLogTest, noteChanges_noChanges_answersWaitingWatch)
{
    log.noteListed(changes({}, 10));
    watchFrom(10);
    log.noteChanges(changes({}, 15));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front()->nextVersion, 15U);
    EXPECT_TRUE(answers.front()->objects.empty());
}

TEST_F(WatchLogTest, watch_objectChangedManyTimes_getsNewestValue)
{
    log.noteListed(changes({}, 10));
    for (std::uint64_t version = 11; version < 30; ++version) {
        log.noteChanges(changes({{"config/main", "v" + std::to_string(version), version}}, version));
    }
    watchFrom(10);
    ASSERT_EQ(answers.front()->objects.size(), 1U);
    EXPECT_EQ(answers.front()->objects.front().value, "v29");
}

TEST_F(WatchLogTest, watch_versionBeforeList_failsWithHistoryGone)
{
    log.noteListed(changes({}, 10));
    watchFrom(9);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(failureCode(answers.front().status()), FailureCode::HistoryGone);
}

// Guards against waiting gateways that take silence for "no changes" when the watching gateway is cut off from the
// store.
TEST_F(WatchLogTest, noteStoreLost_earlierAndLaterWatch_bothFailAtOnce)
{
    log.noteListed(changes({}, 10));
    watchFrom(10);
    log.noteStoreLost();
    watchFrom(10);
    ASSERT_EQ(answers.size(), 2U);
    for (const auto &answer : answers) {
        EXPECT_EQ(failureCode(answer.status()), FailureCode::StoreUnavailable);
    }
}

// Guards against a list from the store by every gateway of a zone after a partition: the watching gateway has all
// objects.
TEST_F(WatchLogTest, watch_fromVersionZero_getsAllObjects)
{
    log.noteListed(changes({{"servers/a", "v1", 4}, {"servers/b", "v1", 7}}, 10));
    log.noteChanges(changes({{"servers/a", "", 0}, {"servers/c", "v1", 12}}, 12));
    watchFrom(0);
    ASSERT_EQ(answers.size(), 1U);
    ASSERT_TRUE(answers.front().ok());
    EXPECT_EQ(answers.front()->nextVersion, 12U);
    ASSERT_EQ(answers.front()->objects.size(), 2U);
    EXPECT_EQ(answers.front()->objects.front().key, "servers/b");
    EXPECT_EQ(answers.front()->objects.back().key, "servers/c");
}

// Guards against a zone whose gateways all watch the store because they start at the same time as their watcher.
TEST_F(WatchLogTest, watch_beforeFirstAnswer_waitsForIt)
{
    watchFrom(0);
    watchFrom(10);
    EXPECT_TRUE(answers.empty());
    log.noteListed(changes({{"servers/a", "v1", 12}}, 12));
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_TRUE(answers.front().ok());
    EXPECT_EQ(failureCode(answers.back().status()), FailureCode::HistoryGone);
}

TEST_F(WatchLogTest, watch_objectRemovedAndCreatedAgain_getsObject)
{
    log.noteListed(changes({{"servers/a", "v1", 4}}, 10));
    log.noteChanges(changes({{"servers/a", "", 0}}, 11));
    log.noteChanges(changes({{"servers/a", "v2", 13}}, 13));
    watchFrom(10);
    ASSERT_EQ(answers.size(), 1U);
    ASSERT_EQ(answers.front()->objects.size(), 1U);
    EXPECT_EQ(answers.front()->objects.front().value, "v2");
}
