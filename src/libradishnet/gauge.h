#pragma once

#include <atomic>

namespace RadishSwitch
{

/// A number that goes up and down.
class Gauge
{
public:
    void set(double value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    void add(double n)
    {
        m_value.fetch_add(n, std::memory_order_relaxed);
    }

    double value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    alignas(64) std::atomic<double> m_value = 0;
};

}
