#pragma once

#include "serving/callrequest.h"
#include "serving/endpointloadsource.h"
#include "virtualtimerservice.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// Simulated engines in virtual time that decode in steps. Each step makes one token of each running stream, and
/// prefills up to 1,024 tokens of the prompts that wait, in their order. An engine with the factor 2 takes twice as
/// long for all of it. Prefix caches are unlimited.
class SteppingEngines
{
public:
    static constexpr double kStepSeconds = 0.00382;
    static constexpr double kTokensPerSecond = 68'200;
    static constexpr std::int64_t kChunkTokens = 1024;
    static constexpr std::int64_t kTokensPerEvent = 7;
    /// Tokens of memory of an engine. Only its report depends on it.
    static constexpr double kMemoryTokens = 400'000;

    struct Run {
        std::vector<PromptPart> parts;
        std::int64_t events = 0;
        std::function<void()> onFirstEvent;
        /// With the longest time between two events.
        std::function<void(Duration longestGap)> onEnd;
    };

    SteppingEngines(VirtualTimerService &timers, const std::vector<double> &factors)
        : m_timers(timers)
        , m_engines(factors.size())
    {
        for (std::size_t n = 0; n < factors.size(); ++n) {
            m_engines[n].factor = factors[n];
        }
    }

    std::size_t size() const
    {
        return m_engines.size();
    }

    void start(std::size_t index, Run run)
    {
        Engine &engine = m_engines[index];
        Stream stream;
        bool isCached = true;
        for (const PromptPart &part : run.parts) {
            isCached = isCached && engine.cached.contains(part.id);
            if (!isCached) {
                stream.toPrefill += part.tokens;
                m_recomputed += m_everPrefilled.contains(part.id) ? part.tokens : 0;
            }
            stream.promptTokens += part.tokens;
            engine.cached.insert(part.id);
            m_everPrefilled.insert(part.id);
        }
        stream.run = std::move(run);
        engine.memoryTokens += static_cast<double>(stream.promptTokens);
        ++engine.started;
        engine.waiting.push_back(std::move(stream));
        if (!engine.isStepping) {
            step(index);
        }
    }

    /// What the process beside the engine would report now. The speed is not relative to other engines yet.
    LoadEstimate report(std::size_t index) const
    {
        const Engine &engine = m_engines[index];
        std::int64_t tokens = 0;
        for (const Stream &it : engine.waiting) {
            tokens += it.toPrefill;
        }
        LoadEstimate load;
        load.waitSeconds = static_cast<double>(tokens) * engine.factor / kTokensPerSecond;
        load.idleEventSeconds = static_cast<double>(kTokensPerEvent) * kStepSeconds * engine.factor;
        for (const auto &[at, gap] : engine.gaps) {
            load.pauseSeconds = std::max(load.pauseSeconds, std::chrono::duration<double>(gap).count());
        }
        load.running = static_cast<double>(engine.running.size());
        load.memoryShare = engine.memoryTokens / kMemoryTokens;
        return load;
    }

    double factor(std::size_t index) const
    {
        return m_engines[index].factor;
    }

    int started(std::size_t index) const
    {
        return m_engines[index].started;
    }

    /// Tokens that an engine prefilled although some engine had prefilled them before.
    std::int64_t recomputedTokens() const
    {
        return m_recomputed;
    }

private:
    struct Stream {
        Run run;
        std::int64_t promptTokens = 0;
        std::int64_t toPrefill = 0;
        std::int64_t made = 0;
        Instant lastEventAt{};
        Duration longestGap{};
    };

    struct Engine {
        double factor = 1;
        bool isStepping = false;
        int started = 0;
        double memoryTokens = 0;
        std::deque<Stream> waiting;
        std::vector<Stream> running;
        /// Times between events in the last second.
        std::deque<std::pair<Instant, Duration>> gaps;
        std::set<std::uint64_t> cached;
    };

    void step(std::size_t index)
    {
        Engine &engine = m_engines[index];
        engine.isStepping = !engine.waiting.empty() || !engine.running.empty();
        if (!engine.isStepping) {
            return;
        }
        std::int64_t chunk = 0;
        std::size_t prefilled = 0;
        for (Stream &it : engine.waiting) {
            const std::int64_t tokens = std::min(it.toPrefill, kChunkTokens - chunk);
            it.toPrefill -= tokens;
            chunk += tokens;
            if (it.toPrefill > 0) {
                break;
            }
            ++prefilled;
        }
        const double span = (kStepSeconds + static_cast<double>(chunk) / kTokensPerSecond) * engine.factor;
        m_timers.after(Duration(static_cast<Duration::rep>(span * 1e6)), [this, index, prefilled] {
            endStep(index, prefilled);
            step(index);
        });
    }

    void endStep(std::size_t index, std::size_t prefilled)
    {
        Engine &engine = m_engines[index];
        const Instant now = m_timers.now();
        std::vector<std::function<void()>> callbacks;
        for (Stream &it : engine.running) {
            makeToken(engine, it);
            if (it.made == it.run.events * kTokensPerEvent) {
                engine.memoryTokens -= static_cast<double>(it.promptTokens);
                callbacks.emplace_back([end = std::move(it.run.onEnd), gap = it.longestGap] {
                    end(gap);
                });
            }
        }
        std::erase_if(engine.running, [](const Stream &it) {
            return it.made == it.run.events * kTokensPerEvent;
        });
        for (std::size_t n = 0; n < prefilled; ++n) {
            Stream stream = std::move(engine.waiting.front());
            engine.waiting.pop_front();
            stream.lastEventAt = now;
            callbacks.push_back(std::move(stream.run.onFirstEvent));
            engine.running.push_back(std::move(stream));
        }
        while (!engine.gaps.empty() && now - engine.gaps.front().first > std::chrono::seconds(1)) {
            engine.gaps.pop_front();
        }
        for (const std::function<void()> &callback : callbacks) {
            callback();
        }
    }

    void makeToken(Engine &engine, Stream &stream)
    {
        if (++stream.made % kTokensPerEvent != 0) {
            return;
        }
        const Duration gap = m_timers.now() - std::exchange(stream.lastEventAt, m_timers.now());
        stream.longestGap = std::max(stream.longestGap, gap);
        engine.gaps.emplace_back(m_timers.now(), gap);
    }

    VirtualTimerService &m_timers;
    std::vector<Engine> m_engines;
    std::set<std::uint64_t> m_everPrefilled;
    std::int64_t m_recomputed = 0;
};

}
