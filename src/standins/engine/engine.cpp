#include "engine.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdlib>

namespace RadishSwitch
{

namespace
{

/// What a shell shows for a process that was killed.
constexpr int kKilledExitCode = 137;

Duration seconds(double count)
{
    return Duration(static_cast<Duration::rep>(std::llround(count * 1e6)));
}

double batchTokensPerSecond(const EngineSettings &settings, int running)
{
    return running * settings.tokensPerSecond / (1 + settings.batchSlowdown * (running - 1));
}

}

Engine::Engine(const EngineSettings &settings)
    : m_settings(settings)
    , m_records(settings.recordFile)
    , m_scheduler(settings.slots)
    , m_cache(settings.cacheBlocks)
    , m_orders(settings)
{
}

const EngineSettings &Engine::settings() const
{
    return m_settings;
}

EngineFaults Engine::faults() const
{
    const std::lock_guard lock(m_faultsMutex);
    return m_faults;
}

absl::Status Engine::changeFaults(const std::string &document)
{
    const std::lock_guard lock(m_faultsMutex);
    const auto changed = changedFaults(m_faults, document);
    if (!changed.ok()) {
        return changed.status();
    }
    m_faults = *changed;
    if (m_faults.isDying) {
        m_records.writeOpenRuns();
        std::_Exit(kKilledExitCode);
    }
    return absl::OkStatus();
}

RunRecords &Engine::records()
{
    return m_records;
}

BatchScheduler &Engine::scheduler()
{
    return m_scheduler;
}

PrefixCache &Engine::cache()
{
    return m_cache;
}

EngineOrders &Engine::orders()
{
    return m_orders;
}

void Engine::noteLoad(std::int64_t tokens)
{
    m_history.add(m_scheduler.load(), tokens);
}

Duration Engine::tokenInterval() const
{
    const int running = std::max(1, m_scheduler.load().running);
    const double alone = faults().slowness / m_settings.tokensPerSecond;
    return seconds(alone * (1 + m_settings.batchSlowdown * (running - 1)));
}

Duration Engine::prefillTime(std::int64_t tokens) const
{
    return seconds(faults().slowness * static_cast<double>(tokens) / m_settings.prefillTokensPerSecond);
}

std::string Engine::loadReport(std::uint64_t since) const
{
    const EngineFaults present = faults();
    const Duration lag = present.loadLag.value_or(m_settings.loadLag);
    const BatchLoad load = m_history.load(lag);
    const EngineConfiguration configuration = m_orders.configuration();
    auto events = nlohmann::json::array();
    const Duration delay = present.cacheEventDelay.value_or(m_settings.cacheEventDelay);
    for (const PrefixCacheEvent &event : m_cache.eventsSince(since, delay, present.lostEventInterval)) {
        events.push_back({{"sequence", event.sequence}, {"stored", event.isStored}, {"prefix_hashes", event.hashes}});
    }
    // A batch that isn't full says nothing about the engine's speed, so its rated speed stands in.
    const double speed = load.running >= m_settings.slots ? m_history.tokensPerSecond(lag)
                                                          : batchTokensPerSecond(m_settings, m_settings.slots);
    const nlohmann::json report{
        {"running", load.running},
        {"queued", load.queued},
        {"capacity", m_settings.slots},
        {"queued_tokens", load.queuedTokens},
        {"tokens_per_second", speed},
        {"models", configuration.models},
        {"adapters", configuration.adapters},
        {"version", configuration.version},
        {"software_version", m_settings.softwareVersion},
        {"role", configuration.role},
        {"cache_events", events},
    };
    return report.dump();
}

}
