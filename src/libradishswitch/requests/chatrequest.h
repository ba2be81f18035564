#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// A validated chat completion request of the OpenAI-compatible API.
class ChatRequest
{
public:
    /// The limit of an answer, in tokens, when the caller gives none.
    static constexpr std::int64_t kDefaultMaximumTokens = 1024;

    /// Parses and validates a request body. The message of InvalidRequest names the invalid field and the values that
    /// are allowed.
    static absl::StatusOr<ChatRequest> parse(std::string_view body);

    const std::string &model() const;

    /// Whether the caller asked for a stream. The engine is always asked for a stream; see engineBody().
    bool isStreamed() const;

    /// Whether the caller asked for the token usage at the end of the stream.
    bool wantsUsage() const;

    /// An upper bound for the number of prompt tokens. A tokenizer makes no more tokens than the text has bytes, and
    /// each message adds a few tokens of its own.
    std::int64_t promptTokensBound() const;

    /// The most tokens that the request can be billed. They are reserved before the request runs.
    std::int64_t worstCaseTokens() const;

    /// The texts of all messages in order, from which the hashes of prompt prefixes are computed.
    const std::string &promptText() const;

    /// The body for the engine. It sets the limit of the answer and always asks for a stream that ends with the usage.
    /// With a stream, an engine that has stopped sending is noticed within seconds; with a complete answer it would be
    /// noticed only at the deadline. The usage is needed for billing.
    std::string engineBody() const;

    /// The body that asks the engine to continue an answer of which the caller has already received `delivered`, which
    /// is `deliveredTokens` tokens long.
    std::string continuationBody(const std::string &delivered, std::int64_t deliveredTokens) const;

    bool operator==(const ChatRequest &) const = default;

private:
    std::string m_body;
    std::string m_model;
    std::string m_promptText;
    std::int64_t m_maximumTokens = 0;
    std::int64_t m_promptTokensBound = 0;
    bool m_isStreamed = false;
    bool m_wantsUsage = false;
};

}
