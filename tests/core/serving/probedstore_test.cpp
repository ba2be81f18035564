#include "base/failure.h"
#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "seededrandom.h"
#include "serving/probedstore.h"
#include "storelink.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class ProbedStoreTest : public testing::Test
{
protected:
    /// Lists like one of a process's followers, again half a second after each failure.
    void follow(const std::string &prefix)
    {
        probed.list(prefix, [this, prefix](const absl::StatusOr<StoreChanges> &changes) {
            if (changes.ok()) {
                ++answered;
                return;
            }
            timers.after(std::chrono::milliseconds(500), [this, prefix] {
                follow(prefix);
            });
        });
    }

    void pass(Duration span)
    {
        constexpr Duration kStep = std::chrono::milliseconds(10);
        for (Duration done{}; done < span; done += kStep) {
            tasks.runAll();
            timers.advance(kStep);
        }
        tasks.runAll();
    }

    ManualTaskQueue tasks;
    VirtualTimerService timers;
    SeededRandom random{7};
    MemoryObjectStore store{tasks};
    StoreLink link{store, tasks, timers};
    ProbedStore probed{link, timers, random};
    int answered = 0;
};

// Guards against calls to the store that grow with the number of followers in a process that is cut off from it.
TEST_F(ProbedStoreTest, list_storeUnreachableForNineSeconds_probesOnceForAll)
{
    link.setCut(true);
    for (int n = 0; n < 4; ++n) {
        follow("kind-" + std::to_string(n) + "/");
    }
    pass(std::chrono::seconds(9));
    EXPECT_EQ(answered, 0);
    EXPECT_LE(link.calls(), 16);
}

// Guards against changes that are delayed by a long pause after the store answers again.
TEST_F(ProbedStoreTest, list_storeReachableAgain_answersAllSoon)
{
    link.setCut(true);
    for (int n = 0; n < 4; ++n) {
        follow("kind-" + std::to_string(n) + "/");
    }
    pass(std::chrono::seconds(9));
    link.setCut(false);
    pass(std::chrono::milliseconds(2'600));
    EXPECT_EQ(answered, 4);
}
