#pragma once

#include <atomic>
#include <cstdint>

namespace RadishSwitch
{

/// Bytes that passed the connections of a process since its start. A part of those that came in was declared
/// beforehand: the bodies of accepted requests whose heads had told their length.
struct TrafficTotals {
    std::int64_t in = 0;
    std::int64_t out = 0;
    std::int64_t declaredIn = 0;

    bool operator==(const TrafficTotals &) const = default;
};

/// Counts the bytes on a process's connections. Safe on any thread; counting costs one or two atomic additions.
class LinkTraffic
{
public:
    void noteIn(std::int64_t n)
    {
        add(m_in, n);
    }

    void noteOut(std::int64_t n)
    {
        add(m_out, n);
    }

    /// Bytes of the body of an accepted request whose head had declared its length.
    void noteDeclaredIn(std::int64_t n)
    {
        add(m_declaredIn, n);
        add(m_in, n);
    }

    TrafficTotals totals() const
    {
        TrafficTotals totals;
        totals.in = m_in.load(std::memory_order_relaxed);
        totals.out = m_out.load(std::memory_order_relaxed);
        totals.declaredIn = m_declaredIn.load(std::memory_order_relaxed);
        return totals;
    }

private:
    static void add(std::atomic<std::int64_t> &sum, std::int64_t n)
    {
        sum.fetch_add(n, std::memory_order_relaxed);
    }

    std::atomic<std::int64_t> m_in = 0;
    std::atomic<std::int64_t> m_out = 0;
    std::atomic<std::int64_t> m_declaredIn = 0;
};

}
