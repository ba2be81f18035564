#pragma once

#include <functional>

namespace RadishSwitch
{

/// Runs work later, outside the caller's locks.
///
/// The decisions hand their answers out through it: a callback that ran in place would run under the lock of the
/// table that decided, and one that called back into that table would wait for itself for ever.
class TaskQueue
{
public:
    virtual ~TaskQueue() = default;

    virtual void post(std::function<void()> task) = 0;
};

}
