#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// One part of a prompt. Prompts share parts; what an engine has read of a part it need not read again, if it has read
/// all parts before it as well.
struct PromptPart {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

/// What a caller says of the tokens of its call.
struct TokenBounds {
    std::int64_t prompt = 0;
    std::int64_t maximumOutput = 0;

    bool operator==(const TokenBounds &) const = default;
};

/// One call of a caller, as far as the serving of it depends on what the caller said.
struct CallRequest {
    /// The caller's name for this one try; a retry of the caller has another.
    RequestId id;
    std::string apiKey;
    std::string host;
    /// How long the caller will wait from the moment at which it asked.
    std::optional<Duration> callerTimeout;
    /// The last event of a stream that the caller has; it asks for what comes after.
    std::optional<std::uint64_t> lastEvent;
    /// Nothing for calls without tokens.
    std::optional<TokenBounds> tokens;
    /// In order; the last belongs to this call or to its session.
    std::vector<PromptPart> parts;

    bool operator==(const CallRequest &) const = default;
};

}
