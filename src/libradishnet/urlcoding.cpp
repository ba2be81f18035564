#include "urlcoding.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr char kHexDigits[] = "0123456789ABCDEF";

bool isPlain(unsigned char c)
{
    return absl::ascii_isalnum(c) || c == '-' || c == '.' || c == '_' || c == '~' || c == '/';
}

int hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = absl::ascii_tolower(static_cast<unsigned char>(c));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

}

std::string encodeUrlPart(std::string_view text)
{
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (isPlain(byte)) {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += kHexDigits[byte >> 4];
        encoded += kHexDigits[byte & 15];
    }
    return encoded;
}

std::optional<std::string> decodeUrlPart(std::string_view text)
{
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] != '%') {
            decoded += text[n];
            continue;
        }
        if (n + 2 >= text.size()) {
            return std::nullopt;
        }
        const int high = hexValue(text[n + 1]);
        const int low = hexValue(text[n + 2]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        decoded += static_cast<char>(high * 16 + low);
        n += 2;
    }
    return decoded;
}

std::optional<UrlTarget> UrlTarget::parse(std::string_view target)
{
    if (target.empty() || target.front() != '/') {
        return std::nullopt;
    }
    const std::size_t question = target.find('?');
    const auto path = decodeUrlPart(target.substr(0, question));
    if (!path) {
        return std::nullopt;
    }
    UrlTarget parsed;
    parsed.m_path = *path;
    if (question == std::string_view::npos) {
        return parsed;
    }
    const std::string query(target.substr(question + 1));
    for (const auto piece : absl::StrSplit(query, '&', absl::SkipEmpty())) {
        const std::string text(piece);
        const std::size_t equals = text.find('=');
        const auto name = decodeUrlPart(text.substr(0, equals));
        const auto value = decodeUrlPart(equals == std::string::npos ? std::string() : text.substr(equals + 1));
        if (!name || !value) {
            return std::nullopt;
        }
        parsed.m_parameters[*name] = *value;
    }
    return parsed;
}

const std::string &UrlTarget::path() const
{
    return m_path;
}

std::optional<std::string> UrlTarget::parameter(const std::string &name) const
{
    const auto it = m_parameters.find(name);
    if (it == m_parameters.end()) {
        return std::nullopt;
    }
    return it->second;
}

}
