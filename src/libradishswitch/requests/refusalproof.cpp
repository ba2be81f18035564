#include "requests/refusalproof.h"

#include <memory>
#include <utility>

namespace RadishSwitch
{

RefusalProof::RefusalProof(KeyOwnership &ownership, TimerService &timers, Duration limit)
    : m_ownership(ownership)
    , m_timers(timers)
    , m_limit(limit)
{
}

void RefusalProof::obtain(std::uint32_t shard, ProvenCallback callback)
{
    const auto isOver = std::make_shared<bool>(false);
    const auto once = [callback = std::move(callback), isOver](bool isProven) {
        if (!std::exchange(*isOver, true)) {
            callback(isProven);
        }
    };
    const TimerId timer = m_timers.after(m_limit, m_life.guard([once] {
        once(false);
    }));
    m_ownership.confirm(shard, m_life.guard([this, once, timer](const absl::Status &confirmed) {
        m_timers.cancel(timer);
        once(confirmed.ok());
    }));
}

}
