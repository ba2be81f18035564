#pragma once

#include "base/lifetimetoken.h"
#include "base/timerservice.h"
#include "requests/keyownership.h"

#include <cstdint>
#include <functional>

namespace RadishSwitch
{

/// The proof that lets a home say "not run" of a key: a read of the shard's record, begun after the refusal was
/// decided, that still names this home.
///
/// Without it a home that was deposed unaware says "not run" of a request that ran under its successor, and the caller
/// orders a second time under a new key. The read is enough, because a successor grants nothing before its own write of
/// the record.
class RefusalProof
{
public:
    using ProvenCallback = std::function<void(bool isProven)>;

    /// A store that does not answer within `limit` gives no proof; refusals are not held up for longer.
    RefusalProof(KeyOwnership &ownership, TimerService &timers, Duration limit);

    void seek(std::uint32_t shard, ProvenCallback callback);

private:
    KeyOwnership &m_ownership;
    TimerService &m_timers;
    const Duration m_limit;
    LifetimeToken m_life;
};

}
