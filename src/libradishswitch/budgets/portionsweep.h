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
    /// No recent heartbeat; the holder may soon be declared dead, or may come back.
    Missing,
    Dead,
};

/// The states of the holders of portions as known to this process, and the shards that it is responsible for.
class HolderDirectory
{
public:
    virtual ~HolderDirectory() = default;

    virtual HolderState stateOf(const IncarnationId &holder) const = 0;

    /// The shards whose home is this process.
    virtual std::vector<std::uint32_t> homeShards() const = 0;
};

struct PortionSweepSettings {
    /// Interval at which all shards of this process are inspected without any other cause; jittered.
    Duration interval = std::chrono::seconds(60);
    /// Delay until a shard is inspected again while one of its holders is missing. After a membership change the
    /// inspections are spread over the same time.
    Duration recheck = std::chrono::seconds(1);
};

/// Finds the portions whose holders have died and has them closed.
///
/// The tokens in a dead holder's portion are unavailable until the portion is closed, so without this sweep a budget
/// would shrink with every death of a holder. Each shard is inspected by its home. When two processes both believe that
/// they are the home, both closers prove the same sum, and it is settled once.
class PortionSweep
{
public:
    PortionSweep(Ledger &ledger, PortionCloser &closer, const HolderDirectory &holders, TimerService &timers,
                 RandomSource &random, PortionSweepSettings settings = {});
    ~PortionSweep();

    PortionSweep(const PortionSweep &) = delete;
    PortionSweep &operator=(const PortionSweep &) = delete;

    void start();

    /// Inspects all shards after a change of the fleet's membership, because holders may have died.
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
