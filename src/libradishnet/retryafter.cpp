#include "retryafter.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <algorithm>
#include <cmath>
#include <string>

namespace RadishSwitch
{

namespace
{

constexpr char kRetryAfterField[] = "Retry-After";
constexpr char kDateField[] = "Date";
/// Longer waits count as so long, or they would not fit.
constexpr double kMostSeconds = 1e9;

/// "Fri, 13 Mar 2026 10:49:07 GMT".
std::optional<absl::Time> readDate(const std::string &text)
{
    absl::Time time;
    return absl::ParseTime("%a, %d %b %Y %H:%M:%S GMT", text, &time, nullptr) ? std::optional(time) : std::nullopt;
}

std::optional<Duration> readWait(const std::string &text, const HttpHeaders &headers)
{
    double seconds = 0;
    if (const std::optional<absl::Time> until = readDate(text)) {
        const std::optional<absl::Time> from = readDate(headers.find(kDateField).value_or(""));
        seconds = std::max(absl::ToDoubleSeconds(*until - from.value_or(absl::Now())), 0.0);
    } else if (!absl::SimpleAtod(text, &seconds) || !std::isfinite(seconds) || seconds < 0) {
        return std::nullopt;
    }
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(std::min(seconds, kMostSeconds)));
}

}

RetryAfter readRetryAfter(const HttpHeaders &headers)
{
    RetryAfter read;
    for (const auto &[name, value] : headers.fields()) {
        if (!absl::EqualsIgnoreCase(name, kRetryAfterField)) {
            continue;
        }
        const std::optional<Duration> wait = readWait(value, headers);
        if (wait) {
            read.wait = std::max(read.wait.value_or(*wait), *wait);
        } else {
            read.isMalformed = true;
        }
    }
    return read;
}

}
