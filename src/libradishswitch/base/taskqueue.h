#pragma once

#include <functional>

namespace RadishSwitch
{

/// Runs tasks later, outside the caller's locks.
///
/// The classes that decide under a lock deliver their answers through it. A callback that ran immediately would run
/// under the lock of the class that decided, and would deadlock if it called that class again.
class TaskQueue
{
public:
    virtual ~TaskQueue() = default;

    virtual void post(std::function<void()> task) = 0;
};

}
