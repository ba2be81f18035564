#include "base/failure.h"
#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "seededrandom.h"
#include "serving/objectfollower.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class ObjectFollowerTest : public testing::Test, protected ObjectListener
{
protected:
    /// A store whose next watch fails once, with a set status.
    class Store : public MemoryObjectStore
    {
    public:
        using MemoryObjectStore::MemoryObjectStore;

        void watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback) override
        {
            ++watches;
            if (nextWatchStatus.ok()) {
                return MemoryObjectStore::watch(prefix, fromVersion, std::move(callback));
            }
            callback(std::exchange(nextWatchStatus, absl::OkStatus()));
        }

        void list(const std::string &prefix, Callback<StoreChanges> callback) override
        {
            ++lists;
            MemoryObjectStore::list(prefix, std::move(callback));
        }

        absl::Status nextWatchStatus;
        int watches = 0;
        int lists = 0;
    };

    ObjectFollowerTest()
        : store(tasks)
        , follower(store, timers, random, "config/", *this)
    {
    }

    void objectsListed(const std::vector<StoredObject> &objects) override
    {
        values.clear();
        objectsChanged(objects);
    }

    void objectsChanged(const std::vector<StoredObject> &objects) override
    {
        for (const StoredObject &object : objects) {
            values[object.key] = object.value;
        }
    }

    void put(const std::string &value)
    {
        const auto it = store.objects().find("config/main");
        store.put("config/main", value, it == store.objects().end() ? 0 : it->second.version, [](const auto &) {});
        run();
    }

    void run(Duration span = std::chrono::milliseconds(0))
    {
        tasks.runAll();
        timers.advance(span);
        tasks.runAll();
    }

    ManualTaskQueue tasks;
    VirtualTimerService timers;
    SeededRandom random{1};
    Store store;
    ObjectFollower follower;
    std::map<std::string, std::string> values;
};

TEST_F(ObjectFollowerTest, watch_objectChanged_notifiesListener)
{
    put("one");
    follower.start();
    run();
    EXPECT_EQ(values["config/main"], "one");
    put("two");
    EXPECT_EQ(values["config/main"], "two");
    EXPECT_EQ(store.lists, 1);
}

// Guards against missing a change: the store may have dropped a watch that it did not answer in time, with a change
// that another watch would not bring.
TEST_F(ObjectFollowerTest, watch_timedOut_isFollowedByAList)
{
    put("one");
    store.nextWatchStatus = makeFailure(FailureCode::StoreTimeout, "silent");
    follower.start();
    run(std::chrono::milliseconds(200));
    EXPECT_EQ(store.lists, 2);
    EXPECT_EQ(values["config/main"], "one");
}

TEST_F(ObjectFollowerTest, watch_historyGone_isFollowedByAListAtOnce)
{
    put("one");
    store.nextWatchStatus = makeFailure(FailureCode::HistoryGone, "no history");
    follower.start();
    run();
    EXPECT_EQ(store.lists, 2);
}

// Guards against many calls to a store that is unavailable for ten seconds, and against a change made at its return
// that is not known within a second.
TEST_F(ObjectFollowerTest, watch_storeUnavailable_retriesSeldomAndCatchesUpSoon)
{
    put("one");
    std::vector<bool> reachability;
    follower.setReachabilityCallback([&reachability](bool isStoreReachable) {
        reachability.push_back(isStoreReachable);
    });
    store.nextWatchStatus = makeFailure(FailureCode::StoreUnavailable, "the store does not answer");
    follower.start();
    store.setUnavailable(true);
    for (int n = 0; n < 200; ++n) {
        run(std::chrono::milliseconds(50));
    }
    EXPECT_LT(store.watches + store.lists, 40);
    store.setUnavailable(false);
    put("two");
    run(std::chrono::milliseconds(1000));
    EXPECT_EQ(values["config/main"], "two");
    EXPECT_EQ(reachability, (std::vector<bool>{false, true}));
}
