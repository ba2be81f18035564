#pragma once

#include "steppingengines.h"

namespace RadishSwitch
{

/// Load updates of simulated engines as gateways get them: measured every quarter of a second, and known half a second
/// later. The slot of an engine at each gateway is its index.
class DelayedLoads : public EndpointLoadSource
{
public:
    static constexpr Duration kInterval = std::chrono::milliseconds(250);
    static constexpr Duration kDelay = std::chrono::milliseconds(500);

    DelayedLoads(VirtualTimerService &timers, const SteppingEngines &engines)
        : m_timers(timers)
        , m_engines(engines)
    {
        m_timer = m_timers.every(kInterval, [this] {
            measure();
        });
    }

    ~DelayedLoads() override
    {
        m_timers.cancel(m_timer);
    }

    DelayedLoads(const DelayedLoads &) = delete;
    DelayedLoads &operator=(const DelayedLoads &) = delete;

    std::optional<LoadEstimate> estimate(EndpointSlot slot, Instant now) const override
    {
        const std::vector<LoadEstimate> *known = nullptr;
        for (const auto &[at, loads] : m_history) {
            known = now - at >= kDelay ? &loads : known;
        }
        return known ? std::optional((*known)[slot]) : std::nullopt;
    }

    bool isUneven(const PoolId & /*pool*/) const override
    {
        return true;
    }

private:
    void measure()
    {
        std::vector<LoadEstimate> loads;
        for (std::size_t n = 0; n < m_engines.size(); ++n) {
            loads.push_back(m_engines.report(n));
        }
        std::vector<double> intervals;
        for (const LoadEstimate &it : loads) {
            intervals.push_back(it.idleEventSeconds);
        }
        std::ranges::sort(intervals);
        for (LoadEstimate &it : loads) {
            it.relativeSpeed = intervals[intervals.size() / 2] / it.idleEventSeconds;
        }
        m_history.emplace_back(m_timers.now(), std::move(loads));
        constexpr std::size_t kKept = 4;
        if (m_history.size() > kKept) {
            m_history.pop_front();
        }
    }

    VirtualTimerService &m_timers;
    const SteppingEngines &m_engines;
    TimerId m_timer = 0;
    std::deque<std::pair<Instant, std::vector<LoadEstimate>>> m_history;
};

}
