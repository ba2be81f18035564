#pragma once

#include "base/timerservice.h"
#include "httpmessages.h"

#include <optional>

namespace RadishSwitch
{

/// What the Retry-After fields of an answer say.
struct RetryAfter {
    /// The longest of several; nothing where none can be read. Zero and more.
    std::optional<Duration> wait;
    /// A field says what is no time.
    bool isMalformed = false;

    bool operator==(const RetryAfter &) const = default;
};

/// Reads all Retry-After fields (RFC 9110): seconds, here also with a fraction, or a date, which counts from the
/// answer's own date where it has one.
RetryAfter readRetryAfter(const HttpHeaders &headers);

}
