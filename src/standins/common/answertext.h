#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace RadishSwitch
{

/// The answer of the stand-in engine to one prompt. Each token is a word that depends on the prompt's text and on the
/// token's place alone, so that whoever knows the prompt can tell whether an answer is whole and its own, and an answer
/// that is continued elsewhere goes on with the same text.
class AnswerText
{
public:
    static constexpr std::int64_t kShortestAnswer = 8;
    static constexpr std::int64_t kLengthSpread = 128;

    /// `promptText` is the text of a ChatPrompt.
    explicit AnswerText(std::string_view promptText);

    /// The text of a token, with the space in front of it; the first token has none.
    std::string token(std::int64_t index) const;

    /// The first `count` tokens.
    std::string tokens(std::int64_t count) const;

    /// How many tokens the answer has before it ends of itself.
    std::int64_t length() const;

    /// The length of the answer under a limit; zero or less stands for none.
    std::int64_t length(std::int64_t maximumTokens) const;

    bool operator==(const AnswerText &) const = default;

private:
    std::uint64_t m_seed;
};

}
