#pragma once

#include "base/lifetimetoken.h"
#include "base/timerservice.h"
#include "requests/keyownership.h"

#include <cstdint>
#include <functional>

namespace RadishSwitch
{

/// The proof that a home needs before it answers "not run" for an idempotency key: a read of the shard's ownership
/// record that begins after the refusal was decided and still names this home.
///
/// Without the proof, a home that was deposed without noticing would answer "not run" for a request that ran under its
/// successor, and the caller would send the request again under a new key. The read is sufficient because a successor
/// grants nothing before it has written the record.
class RefusalProof
{
public:
    using ProvenCallback = std::function<void(bool isProven)>;

    /// `limit` bounds how long a refusal waits for the proof. If the store does not answer within it, the refusal is
    /// not proven.
    RefusalProof(KeyOwnership &ownership, TimerService &timers, Duration limit);

    void obtain(std::uint32_t shard, ProvenCallback callback);

private:
    KeyOwnership &m_ownership;
    TimerService &m_timers;
    const Duration m_limit;
    LifetimeToken m_life;
};

}
