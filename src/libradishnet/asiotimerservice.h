#pragma once

#include "base/timerservice.h"
#include "workerpool.h"

#include <memory>

namespace RadishSwitch
{

/// Time and timers of a running process. Safe on any thread; callbacks come on the pool's threads, with no lock held.
///
/// A callback that has begun on another thread may still run when `cancel` or the destructor returns. One timer's
/// callbacks never overlap.
class AsioTimerService : public TimerService
{
public:
    explicit AsioTimerService(WorkerPool &workers);
    ~AsioTimerService() override;

    Instant now() const override;
    Instant nowWithSuspension() const override;
    std::int64_t wallClockMilliseconds() const override;
    TimerId after(Duration delay, std::function<void()> callback) override;
    TimerId every(Duration interval, std::function<void()> callback) override;
    void cancel(TimerId id) override;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
