#include "table/poolrow.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>

namespace RadishSwitch
{

namespace
{

bool isEscape(std::string_view path, std::size_t at)
{
    return path[at] == '%' && at + 2 < path.size() && absl::ascii_isxdigit(path[at + 1])
        && absl::ascii_isxdigit(path[at + 2]);
}

std::string percentDecoded(std::string_view path)
{
    std::string decoded;
    for (std::size_t n = 0; n < path.size(); ++n) {
        if (isEscape(path, n)) {
            decoded += absl::HexStringToBytes(std::string(path.substr(n + 1, 2)));
            n += 2;
        } else {
            decoded += path[n];
        }
    }
    return decoded;
}

std::vector<std::string> segmentsOf(const std::string &path)
{
    std::vector<std::string> segments;
    std::size_t from = 0;
    while (from <= path.size()) {
        const std::size_t slash = std::min(path.find('/', from), path.size());
        const std::string segment = path.substr(from, slash - from);
        from = slash + 1;
        if (segment.empty() || segment == ".") {
            continue;
        }
        if (segment != "..") {
            segments.push_back(segment);
        } else if (!segments.empty()) {
            segments.pop_back();
        }
    }
    return segments;
}

}

std::string normalisedPath(std::string_view path)
{
    const std::string decoded = percentDecoded(path.substr(0, path.find_first_of("?#")));
    std::string normalised;
    for (const std::string &segment : segmentsOf(decoded)) {
        normalised += "/" + segment;
    }
    return normalised.empty() ? "/" : normalised;
}

bool PoolRow::isNonIdempotent(std::string_view method, std::string_view path) const
{
    if (nonIdempotent.empty()) {
        return false;
    }
    const std::string normalised = normalisedPath(path);
    for (const NonIdempotentRule &rule : nonIdempotent) {
        const bool isMethod = rule.method == "*" || absl::EqualsIgnoreCase(rule.method, std::string(method));
        if (isMethod && normalised.starts_with(rule.pathPrefix)) {
            return true;
        }
    }
    return false;
}

}
