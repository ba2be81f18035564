#pragma once

#include "base/taskqueue.h"
#include "waiter.h"

namespace RadishSwitch
{

/// Blocks the program's first thread while the workers work.
class BlockingWaiter : public Waiter
{
public:
    /// `tasks` must be a queue of one thread: the work starts on it, so that all of it runs there and needs no locks.
    explicit BlockingWaiter(TaskQueue &tasks);

    void wait(const std::function<void(std::function<void()> done)> &start) override;
    void pause(Duration span) override;

private:
    TaskQueue &m_tasks;
};

}
