#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace RadishSwitch
{

/// What the stand-in engine reads from the body of a chat completion.
///
/// A prompt is counted in tokens as its words apart by white space, plus `kTokensPerMessage` for each message; the
/// words of an answer that is to be continued count too, as they do in real engines.
struct ChatPrompt {
    static constexpr std::int64_t kTokensPerMessage = 4;

    std::string model;
    /// Role and content of each message but the one to be continued, a line each.
    std::string text;
    /// The beginning of the answer, when the request asks for the rest of it.
    std::string continued;
    std::int64_t promptTokens = 0;
    std::optional<std::int64_t> maximumTokens;
    bool isStreamed = false;
    bool isUsageIncluded = false;

    bool operator==(const ChatPrompt &) const = default;
};

/// Reads a body. InvalidRequest when it is no chat completion.
absl::StatusOr<ChatPrompt> parseChatPrompt(std::string_view body);

/// How many words, apart by white space, a text has.
std::int64_t countWords(std::string_view text);

}
