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
    /// What each of a process's followers does: asks, and asks again half a second after a failure.
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

// Guards against calls to the store that grow with the followers of each process that is cut off from it.
TEST_F(ProbedStoreTest, storeAwayForNineSeconds_isAskedByOneForAll)
{
    link.setCut(true);
    for (int n = 0; n < 4; ++n) {
        follow("kind-" + std::to_string(n) + "/");
    }
    pass(std::chrono::seconds(9));
    EXPECT_EQ(answered, 0);
    EXPECT_LE(link.calls(), 16);
}

// Guards against news that wait for a long pause once the store answers again.
TEST_F(ProbedStoreTest, storeBack_allAreAnsweredSoon)
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
