#pragma once

#include "base/randomsource.h"
#include "base/timerservice.h"
#include "budgets/ledger.h"
#include "budgets/portioncloser.h"

#include <functional>
#include <memory>
#include <vector>

namespace RadishSwitch
{

enum class HolderState {
    Alive,
    /// Not heard of just now; may be dead soon, or may come back.
    Missing,
    Dead,
};

/// What this process knows of the holders of portions, and which shards are its to look after.
class HolderDirectory
{
public:
    virtual ~HolderDirectory() = default;

    virtual HolderState stateOf(const IncarnationId &holder) const = 0;

    /// The shards whose home this process is.
    virtual std::vector<std::uint32_t> homeShards() const = 0;
};

struct PortionSweepSettings {
    /// How often all shards are looked at with no cause; jittered.
    Duration interval = std::chrono::seconds(60);
    /// How soon a shard is looked at again while one of its holders is missing.
    Duration recheck = std::chrono::seconds(1);
};

/// Finds the portions whose holders have died and has them closed.
///
/// A dead holder's portion stays withheld until it is closed; without somebody who looks, its budget would shrink with
/// every death. Each shard is looked after by its home. Two that both believe to be home prove the same, and settle it
/// once.
class PortionSweep
{
public:
    PortionSweep(Ledger &ledger, PortionCloser &closer, const HolderDirectory &holders, TimerService &timers,
                 RandomSource &random, PortionSweepSettings settings = {});
    ~PortionSweep();

    PortionSweep(const PortionSweep &) = delete;
    PortionSweep &operator=(const PortionSweep &) = delete;

    void start();

    /// The fleet's members have changed: holders may have died.
    void noteMembershipChange();

private:
    void sweep();
    void inspect(std::uint32_t shard);
    void handleShard(std::uint32_t shard, const absl::StatusOr<LedgerShard> &object);
    void scheduleInspection(std::uint32_t shard);

    Ledger &m_ledger;
    PortionCloser &m_closer;
    const HolderDirectory &m_holders;
    TimerService &m_timers;
    RandomSource &m_random;
    const PortionSweepSettings m_settings;
    TimerId m_timer = 0;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
