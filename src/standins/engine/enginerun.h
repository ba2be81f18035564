#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace RadishSwitch
{

enum class EngineRunState {
    Queued,
    Running,
    /// The whole answer went out.
    Done,
    /// A fault of the engine broke it off.
    Cut,
    /// The connection to the asker broke.
    Cancelled,
};

/// What the stand-in engine really did for one request. The truth that measurements are held against.
struct EngineRun {
    std::uint64_t number = 0;
    std::string engine;
    std::string requestId;
    std::string attemptId;
    std::string contentHash;
    EngineRunState state = EngineRunState::Queued;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    /// Tokens of the answer that the asker had already; the run began behind them.
    std::int64_t continuedTokens = 0;
    /// Whether the text to be continued was no beginning of the answer.
    bool isContinuationWrong = false;
    std::int64_t cachedTokens = 0;
    int priority = 0;
    /// When the request came in and when it was over, in microseconds since 1970; zero while it is not.
    std::int64_t startTime = 0;
    std::int64_t endTime = 0;

    bool operator==(const EngineRun &) const = default;
};

std::string_view toString(EngineRunState state);

/// One line of JSON.
std::string toJson(const EngineRun &run);

}
