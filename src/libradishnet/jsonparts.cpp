#include "jsonparts.h"

#include <algorithm>

namespace RadishSwitch
{

namespace
{

constexpr std::string_view kSpaces = " \t\n\r";
constexpr std::string_view kOpening = "[{";
constexpr std::string_view kClosing = "]}";
constexpr std::string_view kScalarEnds = ",]} \t\n\r";

bool isOneOf(char c, std::string_view characters)
{
    return characters.find(c) != std::string_view::npos;
}

/// Moves over a JSON text without parsing its values.
class JsonCursor
{
public:
    explicit JsonCursor(std::string_view text)
        : m_text(text)
    {
    }

    /// Skips the character if it is the next one behind white space.
    bool skip(char c)
    {
        skipSpaces();
        if (m_at == m_text.size() || m_text[m_at] != c) {
            return false;
        }
        ++m_at;
        return true;
    }

    bool isAtEnd()
    {
        skipSpaces();
        return m_at == m_text.size();
    }

    /// The next value; nullopt if there is none, or if the text ends inside it.
    std::optional<std::string_view> value()
    {
        skipSpaces();
        const std::size_t begin = m_at;
        if (m_at == m_text.size() || !skipValue()) {
            return std::nullopt;
        }
        return m_text.substr(begin, m_at - begin);
    }

    /// The next value without its quotes; nullopt if it is no string.
    std::optional<std::string_view> string()
    {
        const std::optional<std::string_view> text = value();
        if (!text || text->front() != '"') {
            return std::nullopt;
        }
        return text->substr(1, text->size() - 2);
    }

    std::size_t maximumDepth() const
    {
        return m_maximumDepth;
    }

private:
    void skipSpaces()
    {
        m_at = std::min(m_text.find_first_not_of(kSpaces, m_at), m_text.size());
    }

    bool skipValue()
    {
        if (m_text[m_at] == '"') {
            return skipString();
        }
        return isOneOf(m_text[m_at], kOpening) ? skipContainer() : skipScalar();
    }

    bool skipScalar()
    {
        const std::size_t begin = m_at;
        m_at = std::min(m_text.find_first_of(kScalarEnds, m_at), m_text.size());
        return m_at > begin;
    }

    bool skipString()
    {
        for (++m_at; m_at < m_text.size(); ++m_at) {
            if (m_text[m_at] == '\\') {
                ++m_at;
            } else if (m_text[m_at] == '"') {
                ++m_at;
                return true;
            }
        }
        m_at = m_text.size();
        return false;
    }

    bool skipContainer()
    {
        std::size_t depth = 0;
        while (m_at < m_text.size()) {
            const char c = m_text[m_at];
            if (c == '"') {
                if (!skipString()) {
                    return false;
                }
                continue;
            }
            ++m_at;
            if (isOneOf(c, kOpening)) {
                m_maximumDepth = std::max(m_maximumDepth, ++depth);
            } else if (isOneOf(c, kClosing) && --depth == 0) {
                return true;
            }
        }
        return false;
    }

    const std::string_view m_text;
    std::size_t m_at = 0;
    std::size_t m_maximumDepth = 0;
};

}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    JsonCursor cursor(text);
    std::vector<std::string_view> values;
    if (!cursor.skip('[')) {
        return std::nullopt;
    }
    bool isEnded = cursor.skip(']');
    while (!isEnded) {
        const std::optional<std::string_view> value = cursor.value();
        if (!value) {
            return std::nullopt;
        }
        values.push_back(*value);
        isEnded = cursor.skip(']');
        if (!isEnded && !cursor.skip(',')) {
            return std::nullopt;
        }
    }
    return cursor.isAtEnd() ? std::optional(std::move(values)) : std::nullopt;
}

std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text)
{
    JsonCursor cursor(text);
    std::vector<JsonMember> members;
    if (!cursor.skip('{')) {
        return std::nullopt;
    }
    bool isEnded = cursor.skip('}');
    while (!isEnded) {
        const std::optional<std::string_view> name = cursor.string();
        if (!name || !cursor.skip(':')) {
            return std::nullopt;
        }
        const std::optional<std::string_view> value = cursor.value();
        if (!value) {
            return std::nullopt;
        }
        members.push_back({*name, *value});
        isEnded = cursor.skip('}');
        if (!isEnded && !cursor.skip(',')) {
            return std::nullopt;
        }
    }
    return cursor.isAtEnd() ? std::optional(std::move(members)) : std::nullopt;
}

std::size_t jsonDepth(std::string_view text)
{
    JsonCursor cursor(text);
    while (cursor.value()) { }
    return cursor.maximumDepth();
}

}
