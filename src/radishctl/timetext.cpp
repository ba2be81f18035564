#include "timetext.h"

#include "base/failure.h"

#include <absl/strings/numbers.h>

#include <ctime>
#include <optional>

namespace RadishSwitch
{

namespace
{

constexpr std::int64_t kMillisecondsPerSecond = 1000;

std::optional<std::int64_t> secondsOfUnit(char unit)
{
    switch (unit) {
    case 's':
        return 1;
    case 'm':
        return 60;
    case 'h':
        return 60 * 60;
    case 'd':
        return 24 * 60 * 60;
    default:
        return std::nullopt;
    }
}

std::optional<std::int64_t> parseAge(const std::string &text)
{
    std::int64_t n = 0;
    const std::optional<std::int64_t> unit = text.empty() ? std::nullopt : secondsOfUnit(text.back());
    if (!unit || !absl::SimpleAtoi(text.substr(0, text.size() - 1), &n) || n < 0) {
        return std::nullopt;
    }
    return n * *unit * kMillisecondsPerSecond;
}

std::optional<std::int64_t> parseMoment(const std::string &text)
{
    for (const char *form : {"%Y-%m-%dT%H:%M:%SZ", "%Y-%m-%d"}) {
        std::tm parts{};
        const char *end = strptime(text.c_str(), form, &parts);
        if (end && *end == '\0') {
            return static_cast<std::int64_t>(timegm(&parts)) * kMillisecondsPerSecond;
        }
    }
    return std::nullopt;
}

}

absl::StatusOr<std::int64_t> parseSince(const std::string &text, std::int64_t nowMs)
{
    if (const std::optional<std::int64_t> age = parseAge(text)) {
        return nowMs - *age;
    }
    if (const std::optional<std::int64_t> moment = parseMoment(text)) {
        return *moment;
    }
    return makeFailure(FailureCode::InvalidSettings,
                       "'" + text + "' should be like 30m, 2h, 7d, 2026-03-01 or 2026-03-01T12:00:00Z");
}

}
