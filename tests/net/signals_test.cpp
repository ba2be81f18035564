#include "signals.h"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <future>

using namespace RadishSwitch;

TEST(SignalsTest, secondSigterm_duringAndAfterTheStop_isIgnored)
{
    // A supervisor sends SIGTERM, grows impatient, and sends it again while requests are still in progress, and once
    // more while the process ends. It must neither stop twice nor be killed: each would cut requests off.
    std::atomic<int> stops = 0;
    std::promise<void> stopped;
    {
        WorkerPool workers(1);
        const Signals signals(workers, [&] {
            ++stops;
            stopped.set_value();
        });
        workers.start();
        std::raise(SIGTERM);
        stopped.get_future().wait();
        std::raise(SIGTERM);
        std::raise(SIGINT);
        std::promise<void> passed;
        workers.post([&passed] {
            passed.set_value();
        });
        passed.get_future().wait();
    }
    std::raise(SIGTERM);

    EXPECT_EQ(stops, 1);
    std::signal(SIGTERM, SIG_DFL);
    std::signal(SIGINT, SIG_DFL);
}
