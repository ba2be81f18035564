#include "answertext.h"

#include <xxhash.h>

#include <algorithm>

namespace RadishSwitch
{

namespace
{

constexpr std::string_view kConsonants = "bdfgklmnprstvz";
constexpr std::string_view kVowels = "aeiou";
constexpr int kSyllables = 3;

}

AnswerText::AnswerText(std::string_view promptText)
    : m_seed(XXH3_64bits(promptText.data(), promptText.size()))
{
}

std::string AnswerText::token(std::int64_t index) const
{
    std::uint64_t n = XXH3_64bits_withSeed(&index, sizeof(index), m_seed);
    std::string word = index == 0 ? "" : " ";
    for (int syllable = 0; syllable < kSyllables; ++syllable) {
        word += kConsonants[n % kConsonants.size()];
        n /= kConsonants.size();
        word += kVowels[n % kVowels.size()];
        n /= kVowels.size();
    }
    return word;
}

std::string AnswerText::tokens(std::int64_t count) const
{
    std::string text;
    for (std::int64_t n = 0; n < count; ++n) {
        text += token(n);
    }
    return text;
}

std::int64_t AnswerText::length() const
{
    return kShortestAnswer + static_cast<std::int64_t>(m_seed % kLengthSpread);
}

std::int64_t AnswerText::length(std::int64_t maximumTokens) const
{
    return maximumTokens > 0 ? std::min(maximumTokens, length()) : length();
}

}
