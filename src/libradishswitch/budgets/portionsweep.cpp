#include "budgets/portionsweep.h"

#include <set>

namespace RadishSwitch
{

PortionSweep::PortionSweep(Ledger &ledger, PortionCloser &closer, const HolderDirectory &holders, TimerService &timers,
                           RandomSource &random, PortionSweepSettings settings)
    : m_ledger(ledger)
    , m_closer(closer)
    , m_holders(holders)
    , m_timers(timers)
    , m_random(random)
    , m_settings(settings)
{
}

PortionSweep::~PortionSweep()
{
    m_timers.cancel(m_timer);
}

void PortionSweep::start()
{
    const Duration jitter(static_cast<Duration::rep>(m_random.below(m_settings.interval.count() / 4)));
    m_timer = m_timers.every(m_settings.interval + jitter, [this] {
        sweep();
    });
}

void PortionSweep::noteMembershipChange()
{
    sweep();
}

void PortionSweep::sweep()
{
    for (const std::uint32_t shard : m_holders.homeShards()) {
        scheduleInspection(shard);
    }
}

// The inspections are spread over the recheck interval: all homes see a death at the same time, and their reads would
// otherwise reach the store together.
void PortionSweep::scheduleInspection(std::uint32_t shard)
{
    const Duration delay(static_cast<Duration::rep>(m_random.below(m_settings.recheck.count())));
    m_timers.after(delay, [this, shard, alive = std::weak_ptr<int>(m_alive)] {
        if (!alive.expired()) {
            inspect(shard);
        }
    });
}

void PortionSweep::inspect(std::uint32_t shard)
{
    m_ledger.readShard(shard, [this, shard, alive = std::weak_ptr<int>(m_alive)](auto object) {
        if (!alive.expired()) {
            handleShard(shard, object);
        }
    });
}

void PortionSweep::handleShard(std::uint32_t shard, const absl::StatusOr<LedgerShard> &object)
{
    if (!object.ok()) {
        return;
    }
    bool isMissing = false;
    std::set<IncarnationId> dead;
    for (const auto &[budget, record] : object->budgets()) {
        for (const auto &[id, portion] : record.portions()) {
            const HolderState state = m_holders.stateOf(portion.holder);
            isMissing = isMissing || state == HolderState::Missing;
            if (state == HolderState::Dead) {
                dead.insert(portion.holder);
            }
        }
    }
    for (const IncarnationId &holder : dead) {
        m_closer.closeHolder(holder, shard, [](const CloseReport &) {});
    }
    if (isMissing) {
        m_timers.after(m_settings.recheck, [this, shard, alive = std::weak_ptr<int>(m_alive)] {
            if (!alive.expired()) {
                inspect(shard);
            }
        });
    }
}

}
