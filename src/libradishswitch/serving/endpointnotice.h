#pragma once

#include "base/timerservice.h"

#include <optional>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// What an endpoint can say of itself beside its answer to a call.
enum class NoticeField {
    Limit,
    Backoff,
    Leaving,
};

/// The stable name of a field, such as "limit".
std::string_view noticeFieldName(NoticeField field);

/// What an endpoint says of itself in the head of an answer.
struct EndpointNotice {
    /// Calls a second that the endpoint takes from all callers together, while it is in need; nothing where it names no
    /// limit.
    std::optional<double> callsPerSecond;
    /// For how long it wants no calls of this gateway; nothing where it asks for none.
    std::optional<Duration> backoff;
    /// It leaves, and takes no calls that come later.
    bool isLeaving = false;
    /// What it says and can't be read. Nothing is concluded from that.
    std::vector<NoticeField> unreadable;

    bool operator==(const EndpointNotice &) const = default;
};

/// What of a notice is new here.
struct NoticeChanges {
    bool hasLimitChanged = false;
    /// It wants none for longer than was known.
    bool isBackoffLonger = false;
    /// It was not known to leave.
    bool isLeavingNow = false;

    bool operator==(const NoticeChanges &) const = default;
};

}
