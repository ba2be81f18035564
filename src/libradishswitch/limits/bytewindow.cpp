#include "limits/bytewindow.h"

#include <algorithm>

namespace RadishSwitch
{

std::int64_t ByteWindow::slotOf(Instant moment)
{
    return moment.time_since_epoch() / kSlot;
}

void ByteWindow::advanceTo(std::int64_t slot)
{
    for (std::int64_t it = std::max(m_newest + 1, slot - kSlots + 1); it <= slot; ++it) {
        std::int64_t &bytes = m_bytes[static_cast<std::size_t>(it % kSlots)];
        m_sum -= bytes;
        bytes = 0;
    }
    m_newest = std::max(m_newest, slot);
}

void ByteWindow::add(std::int64_t n, Instant now)
{
    advanceTo(slotOf(now));
    m_bytes[static_cast<std::size_t>(m_newest % kSlots)] += n;
    m_sum += n;
}

void ByteWindow::addBetween(std::int64_t n, Instant from, Instant to)
{
    const std::int64_t slots = slotOf(to) - slotOf(from) + 1;
    if (slots <= 1) {
        return add(n, to);
    }
    // Differences of rounded sums, so that no byte is lost in rounding.
    for (std::int64_t it = std::max<std::int64_t>(0, slots - kSlots); it < slots; ++it) {
        add(n * (it + 1) / slots - n * it / slots, from + it * kSlot);
    }
}

std::int64_t ByteWindow::sum(Instant now) const
{
    const std::int64_t slot = slotOf(now);
    std::int64_t sum = m_sum;
    for (std::int64_t it = m_newest + 1; it <= std::min(slot, m_newest + kSlots); ++it) {
        sum -= m_bytes[static_cast<std::size_t>(it % kSlots)];
    }
    return sum;
}

std::int64_t ByteWindow::sumOfLast(std::int64_t slots, Instant now) const
{
    const std::int64_t slot = slotOf(now);
    std::int64_t sum = 0;
    for (std::int64_t it = std::max<std::int64_t>({0, slot - slots, m_newest - kSlots + 1});
         it < std::min(slot, m_newest + 1); ++it) {
        sum += m_bytes[static_cast<std::size_t>(it % kSlots)];
    }
    return sum;
}

}
