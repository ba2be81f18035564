#pragma once

#include "requests/ssescanner.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace RadishSwitch
{

/// Tokens of one chat completion, as the engine counted them.
struct ChatUsage {
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;

    bool operator==(const ChatUsage &) const = default;
};

/// Reads the usage from the JSON body of a whole completion or from one chunk of a streamed one. Nothing when it names
/// none; MalformedMessage when it is no JSON object or the numbers are none; EndpointFailed when it is an error that
/// the engine reports.
absl::StatusOr<std::optional<ChatUsage>> parseChatUsage(std::string_view json);

/// Follows a streamed completion and tells at its end whether it is whole and what it used.
class ChatMeter
{
public:
    /// Takes the next bytes of the body. The errors of the scanner and of `parseChatUsage`.
    absl::Status append(std::string_view bytes);

    /// Whether "[DONE]" has come.
    bool isComplete() const;

    /// The usage at the end of the stream, if the engine told it. EndpointFailed when the stream ended without
    /// "[DONE]".
    absl::StatusOr<std::optional<ChatUsage>> finish();

private:
    absl::Status takeEvent(const SseEvent &event);

    SseScanner m_scanner;
    std::optional<ChatUsage> m_usage;
    bool m_isComplete = false;
};

}
