#include "enginerun.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

std::string_view toString(EngineRunState state)
{
    switch (state) {
    case EngineRunState::Queued:
        return "queued";
    case EngineRunState::Running:
        return "running";
    case EngineRunState::Done:
        return "done";
    case EngineRunState::Cut:
        return "cut";
    case EngineRunState::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::string toJson(const EngineRun &run)
{
    const nlohmann::ordered_json document{
        {"run", run.number},
        {"endpoint", run.engine},
        {"request_id", run.requestId},
        {"attempt_id", run.attemptId},
        {"content_hash", run.contentHash},
        {"state", toString(run.state)},
        {"prompt_tokens", run.promptTokens},
        {"completion_tokens", run.completionTokens},
        {"continued_tokens", run.continuedTokens},
        {"continuation_wrong", run.isContinuationWrong},
        {"cached_tokens", run.cachedTokens},
        {"priority", run.priority},
        {"start_us", run.startTime},
        {"end_us", run.endTime},
    };
    return document.dump();
}

}
