#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// One part of a prompt. Prompts share parts. An engine need not prefill a part again that is in its prefix cache,
/// provided that all parts before it are cached as well.
struct PromptPart {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

/// The token counts that a caller states for its call.
struct TokenBounds {
    std::int64_t prompt = 0;
    std::int64_t maximumOutput = 0;

    bool operator==(const TokenBounds &) const = default;
};

/// The properties of a call, as stated by its caller, that decide how it is served.
struct CallRequest {
    /// The caller's id of this try; if the caller retries, the retry has another id.
    RequestId id;
    std::string apiKey;
    std::string host;
    /// Time for which the caller waits, from when it sent the call.
    std::optional<Duration> callerTimeout;
    /// The last event of a stream that the caller has received. The caller asks for the events after it.
    std::optional<std::uint64_t> lastEvent;
    /// The caller's try that received the first event of the stream that this call continues.
    std::optional<RequestId> resumedCall;
    /// nullopt for calls without tokens.
    std::optional<TokenBounds> tokens;
    /// The parts of the prompt in order. The last one belongs to this call or its session only.
    std::vector<PromptPart> parts;

    bool operator==(const CallRequest &) const = default;
};

}
