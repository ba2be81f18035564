#include "base/failure.h"
#include "serving/watchlog.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class WatchLogTest : public testing::Test
{
protected:
    /// Asks, and keeps the answers in the order in which they come.
    void ask(std::uint64_t fromVersion)
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

TEST_F(WatchLogTest, news_reachThoseThatWaitAndThoseThatAskLater)
{
    log.noteListed(changes({}, 10));
    ask(10);
    EXPECT_TRUE(answers.empty());
    log.noteChanges(changes({{"config/main", "v2", 12}}, 12));
    ask(10);
    ASSERT_EQ(answers.size(), 2U);
    for (const auto &answer : answers) {
        ASSERT_TRUE(answer.ok());
        EXPECT_EQ(answer->nextVersion, 12U);
        ASSERT_EQ(answer->objects.size(), 1U);
        EXPECT_EQ(answer->objects.front().value, "v2");
    }
}

// The store answers a watch that has nothing to tell. Those that wait hear that too: silence would mean that this
// gateway no longer hears the store.
TEST_F(WatchLogTest, wordWithoutNews_isPassedOn)
{
    log.noteListed(changes({}, 10));
    ask(10);
    log.noteChanges(changes({}, 15));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front()->nextVersion, 15U);
    EXPECT_TRUE(answers.front()->objects.empty());
}

TEST_F(WatchLogTest, manyStatesOfOneObject_areSentAsTheNewest)
{
    log.noteListed(changes({}, 10));
    for (std::uint64_t version = 11; version < 30; ++version) {
        log.noteChanges(changes({{"config/main", "v" + std::to_string(version), version}}, version));
    }
    ask(10);
    ASSERT_EQ(answers.front()->objects.size(), 1U);
    EXPECT_EQ(answers.front()->objects.front().value, "v29");
}

TEST_F(WatchLogTest, questionFromBeforeTheList_isSentToTheStore)
{
    log.noteListed(changes({}, 10));
    ask(9);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(failureCode(answers.front().status()), FailureCode::HistoryGone);
}

// The gateway that watches is cut off from the store. Those that wait on it must not take its silence for "nothing
// new".
TEST_F(WatchLogTest, lostStore_isToldAtOnce)
{
    log.noteListed(changes({}, 10));
    ask(10);
    log.noteStoreLost();
    ask(10);
    ASSERT_EQ(answers.size(), 2U);
    for (const auto &answer : answers) {
        EXPECT_EQ(failureCode(answer.status()), FailureCode::StoreUnavailable);
    }
}

// Guards against a list from the store by every gateway of a zone after a cut: the one that watches has all objects.
TEST_F(WatchLogTest, everythingAskedFor_isAnsweredWithAllThatIsThere)
{
    log.noteListed(changes({{"servers/a", "v1", 4}, {"servers/b", "v1", 7}}, 10));
    log.noteChanges(changes({{"servers/a", "", 0}, {"servers/c", "v1", 12}}, 12));
    ask(0);
    ASSERT_EQ(answers.size(), 1U);
    ASSERT_TRUE(answers.front().ok());
    EXPECT_EQ(answers.front()->nextVersion, 12U);
    ASSERT_EQ(answers.front()->objects.size(), 2U);
    EXPECT_EQ(answers.front()->objects.front().key, "servers/b");
    EXPECT_EQ(answers.front()->objects.back().key, "servers/c");
}

// Guards against a zone's gateways that all ask the store, since they start in the moment in which their watcher does.
TEST_F(WatchLogTest, questionBeforeTheFirstWord_waitsForIt)
{
    ask(0);
    ask(10);
    EXPECT_TRUE(answers.empty());
    log.noteListed(changes({{"servers/a", "v1", 12}}, 12));
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_TRUE(answers.front().ok());
    EXPECT_EQ(failureCode(answers.back().status()), FailureCode::HistoryGone);
}

TEST_F(WatchLogTest, objectRemovedAndBack_isThereAgain)
{
    log.noteListed(changes({{"servers/a", "v1", 4}}, 10));
    log.noteChanges(changes({{"servers/a", "", 0}}, 11));
    log.noteChanges(changes({{"servers/a", "v2", 13}}, 13));
    ask(10);
    ASSERT_EQ(answers.size(), 1U);
    ASSERT_EQ(answers.front()->objects.size(), 1U);
    EXPECT_EQ(answers.front()->objects.front().value, "v2");
}
