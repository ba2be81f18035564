#pragma once

#include "base/timerservice.h"

namespace RadishSwitch
{

/// The predicted queue of one direction of a link: bytes that drain at the link's bandwidth as if they were a fluid.
class LinkQueue
{
public:
    explicit LinkQueue(double bytesPerSecond)
        : m_bytesPerSecond(bytesPerSecond)
    {
    }

    /// Adds bytes that are still to pass.
    void add(double bytes);

    /// Adds bytes that have passed already. They count against the time in which the queue was empty before: a process
    /// with a small share of a core reads at once what arrived while it did not run, and that is no queue.
    void addPassed(double bytes);

    /// Takes out bytes that won't pass.
    void remove(double bytes);

    void advance(Duration span);

    /// The time that the queue takes to drain.
    Duration length() const;

    /// The time that `bytes` take to pass.
    Duration timeOf(double bytes) const;

private:
    double m_bytesPerSecond;
    double m_bytes = 0;
    /// What the link could have carried while the queue was empty.
    double m_unused = 0;
};

}
