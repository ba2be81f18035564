#pragma once

#include "base/timerservice.h"

#include <functional>

namespace RadishSwitch
{

/// How a command, which does one step after the other, waits for callbacks.
class Waiter
{
public:
    virtual ~Waiter() = default;

    /// Runs `start` with a function that says that the work is done, and returns once that was called.
    virtual void wait(const std::function<void(std::function<void()> done)> &start) = 0;

    /// Returns after a while.
    virtual void pause(Duration span) = 0;
};

}
