#pragma once

#include "requests/ssescanner.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace RadishSwitch
{

/// Token counts of one chat completion, as reported by the inference engine.
struct ChatUsage {
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;

    bool operator==(const ChatUsage &) const = default;
};

/// Reads the token usage from JSON: the body of a complete completion, or one chunk of a streamed completion. Returns
/// nothing when the JSON has no usage. Errors: MalformedMessage when it is not a JSON object or a token count is
/// invalid; EndpointFailed when the engine reports an error in it.
absl::StatusOr<std::optional<ChatUsage>> parseChatUsage(std::string_view json);

/// Reads a streamed completion and reports at its end whether it is complete and how many tokens it used.
class ChatMeter
{
public:
    /// Takes the next bytes of the body. Errors: those of SseScanner::scan and of parseChatUsage.
    absl::Status append(std::string_view bytes);

    /// Whether the end marker "[DONE]" has been received.
    bool isComplete() const;

    /// The usage after the end of the stream, or nothing when the engine sent none. EndpointFailed when the stream
    /// ended without "[DONE]".
    absl::StatusOr<std::optional<ChatUsage>> finish();

private:
    absl::Status handleEvent(const SseEvent &event);

    SseScanner m_scanner;
    std::optional<ChatUsage> m_usage;
    bool m_isComplete = false;
};

}
