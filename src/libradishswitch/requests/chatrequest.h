#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// A checked chat completion request of the OpenAI-compatible API.
class ChatRequest
{
public:
    /// The answer's bound in tokens when the caller gives none.
    static constexpr std::int64_t kDefaultMaximumTokens = 1024;

    /// Reads a body. InvalidRequest names the field that is wrong and what would be right.
    static absl::StatusOr<ChatRequest> parse(std::string_view body);

    const std::string &model() const;

    /// Whether the caller asked for a stream; the engine always is.
    bool isStreamed() const;

    /// Whether the caller itself asked for the usage at a stream's end.
    bool wantsUsage() const;

    std::int64_t maximumTokens() const;

    /// A number of tokens that the prompt can't exceed: no tokenizer makes more tokens than there are bytes, and each
    /// message adds a few of its own.
    std::int64_t promptTokensBound() const;

    /// The most that the request can be billed; reserved before it runs.
    std::int64_t worstCaseTokens() const;

    /// All message texts in order, for the hashes of prompt prefixes.
    const std::string &promptText() const;

    /// The body for the engine: the bound on the answer filled in, and always a stream with the usage at its end. An
    /// engine that has fallen silent shows in a stream within seconds, in a whole answer only at the deadline; the bill
    /// is made from the usage.
    std::string engineBody() const;

    /// The body that continues an answer of which `delivered` has reached the caller in `deliveredTokens` tokens.
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
