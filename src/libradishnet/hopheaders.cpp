#include "hopheaders.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace RadishSwitch
{

namespace
{

constexpr std::array kHopHeaders{
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect",
};

bool isHopHeader(const std::string &name)
{
    return std::ranges::any_of(kHopHeaders, [&name](const char *it) {
        return absl::EqualsIgnoreCase(name, it);
    });
}

std::vector<std::string> namedByConnection(const HttpHeaders &headers)
{
    std::vector<std::string> names;
    for (const auto &[name, value] : headers.fields()) {
        if (!absl::EqualsIgnoreCase(name, "Connection")) {
            continue;
        }
        for (absl::string_view part : absl::StrSplit(value, ',')) {
            names.emplace_back(absl::StripAsciiWhitespace(part));
        }
    }
    return names;
}

}

HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    const std::vector<std::string> dropped = namedByConnection(headers);
    HttpHeaders kept;
    for (const auto &[name, value] : headers.fields()) {
        const bool isNamed = std::ranges::any_of(dropped, [&name](const std::string &it) {
            return absl::EqualsIgnoreCase(it, name);
        });
        if (!isNamed && !isHopHeader(name)) {
            kept.add(name, value);
        }
    }
    return kept;
}

}
