#pragma once

#include "base/timerservice.h"

#include <array>
#include <cstdint>

namespace RadishSwitch
{

/// The sum of bytes over the last second, in slots of 50 ms. Its memory is fixed.
class ByteWindow
{
public:
    static constexpr Duration kSlot = std::chrono::milliseconds(50);
    static constexpr std::int64_t kSlots = 20;
    static constexpr Duration kSpan = kSlot * kSlots;

    void add(std::int64_t n, Instant now);

    /// Adds bytes that passed at an even rate between two moments.
    void addBetween(std::int64_t n, Instant from, Instant to);

    std::int64_t sum(Instant now) const;

    /// The sum over the last `slots` slots before the current one.
    std::int64_t sumOfLast(std::int64_t slots, Instant now) const;

private:
    static std::int64_t slotOf(Instant moment);
    void advanceTo(std::int64_t slot);

    std::array<std::int64_t, kSlots> m_bytes{};
    std::int64_t m_sum = 0;
    /// The newest slot.
    std::int64_t m_newest = 0;
};

}
