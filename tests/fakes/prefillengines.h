#pragma once

#include "seededrandom.h"
#include "serving/callgate.h"
#include "virtualtimerservice.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// Simulated engines in virtual time, as far as placement can distinguish them. Each engine prefills its prompts one
/// after the other, skips the parts in its prefix cache, and answers after the prefill.
class PrefillEngines
{
public:
    static constexpr double kTokensPerSecond = 101'000;

    PrefillEngines(VirtualTimerService &timers, int count, double tokensPerSecond = kTokensPerSecond)
        : m_timers(timers)
        , m_tokensPerSecond(tokensPerSecond)
        , m_engines(static_cast<std::size_t>(count))
    {
    }

    static EndpointId id(int index)
    {
        return EndpointId("engine-" + std::to_string(index));
    }

    /// Prefills a prompt and calls back when the first answer is ready.
    void prefill(const EndpointId &endpoint, const std::vector<PromptPart> &parts, std::function<void()> onAnswer)
    {
        Engine &engine = m_engines[static_cast<std::size_t>(std::stoi(endpoint.value().substr(7)))];
        std::int64_t tokens = 0;
        bool isCached = true;
        for (const PromptPart &part : parts) {
            isCached = isCached && engine.cached.contains(part.id);
            if (!isCached) {
                tokens += part.tokens;
                m_recomputed += m_everPrefilled.contains(part.id) ? part.tokens : 0;
            }
            engine.cached.insert(part.id);
            m_everPrefilled.insert(part.id);
        }
        const Duration span(static_cast<Duration::rep>(static_cast<double>(tokens) / m_tokensPerSecond * 1e6));
        engine.freeAt = std::max(engine.freeAt, m_timers.now()) + span;
        m_timers.after(engine.freeAt - m_timers.now(), std::move(onAnswer));
    }

    /// Tokens that an engine prefilled although another engine, or the same one, had prefilled them before.
    std::int64_t recomputedTokens() const
    {
        return m_recomputed;
    }

private:
    struct Engine {
        Instant freeAt{};
        std::set<std::uint64_t> cached;
    };

    VirtualTimerService &m_timers;
    const double m_tokensPerSecond;
    std::vector<Engine> m_engines;
    std::set<std::uint64_t> m_everPrefilled;
    std::int64_t m_recomputed = 0;
};

}
