#include "asiotimerservice.h"

#include <gtest/gtest.h>

#include <future>

using namespace RadishSwitch;

class AsioTimerServiceTest : public testing::Test
{
protected:
    static constexpr std::chrono::seconds kPatience{30};

    void SetUp() override
    {
        workers.start();
    }

    void TearDown() override
    {
        workers.stop();
    }

    WorkerPool workers{2};
    AsioTimerService timers{workers};
};

TEST_F(AsioTimerServiceTest, after_delayPassed_firesNotBefore)
{
    const Duration delay = std::chrono::milliseconds(20);
    const Instant start = timers.now();
    std::promise<Instant> fired;
    timers.after(delay, [&] {
        fired.set_value(timers.now());
    });

    std::future<Instant> future = fired.get_future();
    ASSERT_EQ(future.wait_for(kPatience), std::future_status::ready);
    EXPECT_GE(future.get(), start + delay);
}

TEST_F(AsioTimerServiceTest, every_cancelledInItsCallback_firesNoMore)
{
    // The third call cancels the timer. A single shot set then, behind several intervals, finds the count unchanged.
    std::atomic<int> calls = 0;
    std::promise<void> later;
    TimerId id = 0;
    std::promise<void> idIsKnown;
    std::shared_future<void> known = idIsKnown.get_future().share();
    id = timers.every(std::chrono::milliseconds(2), [&, known] {
        known.wait();
        if (++calls == 3) {
            timers.cancel(id);
            timers.after(std::chrono::milliseconds(20), [&] {
                later.set_value();
            });
        }
    });
    idIsKnown.set_value();

    ASSERT_EQ(later.get_future().wait_for(kPatience), std::future_status::ready);
    EXPECT_EQ(calls, 3);
}

TEST_F(AsioTimerServiceTest, cancel_beforeDue_neverFires)
{
    std::atomic<bool> hasFired = false;
    std::promise<void> later;
    const TimerId id = timers.after(std::chrono::milliseconds(10), [&] {
        hasFired = true;
    });
    timers.cancel(id);
    timers.after(std::chrono::milliseconds(30), [&] {
        later.set_value();
    });

    ASSERT_EQ(later.get_future().wait_for(kPatience), std::future_status::ready);
    EXPECT_FALSE(hasFired);
}
