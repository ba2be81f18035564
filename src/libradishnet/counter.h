#pragma once

#include <atomic>
#include <cstdint>

namespace RadishSwitch
{

/// A number that only grows. Counting costs one atomic addition.
class Counter
{
public:
    void add(std::uint64_t n = 1)
    {
        m_value.fetch_add(n, std::memory_order_relaxed);
    }

    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    // A cache line of its own: counters that different threads count would slow one another down otherwise.
    alignas(64) std::atomic<std::uint64_t> m_value = 0;
};

}
