#pragma once

#include "base/taskqueue.h"

#include <deque>
#include <utility>

/// A task queue that holds the posted tasks until the test runs them, in order.
class ManualTaskQueue : public RadishSwitch::TaskQueue
{
public:
    void post(std::function<void()> task) override
    {
        m_tasks.push_back(std::move(task));
    }

    /// Runs the next task. Returns false when there is none.
    bool runOne()
    {
        if (m_tasks.empty()) {
            return false;
        }
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        task();
        return true;
    }

    /// Runs all tasks, including those that the tasks post themselves.
    void runAll()
    {
        while (runOne()) { }
    }

    std::size_t pending() const
    {
        return m_tasks.size();
    }

private:
    std::deque<std::function<void()>> m_tasks;
};
