#pragma once

#include "base/timerservice.h"

#include <optional>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// The fields in which an endpoint reports about itself in the head of an answer.
enum class NoticeField {
    Limit,
    Backoff,
    Leaving,
};

/// The name of a field in logs, such as "limit". Stable.
std::string_view noticeFieldName(NoticeField field);

/// What an endpoint reports about itself in the head of an answer.
struct EndpointNotice {
    /// Limit that an overloaded endpoint announces, in calls per second from all gateways together; nullopt if it
    /// announces none.
    std::optional<double> callsPerSecond;
    /// Time for which the endpoint asks this gateway to send no calls; nullopt if it does not ask for backoff.
    std::optional<Duration> backoff;
    /// The endpoint is leaving and refuses new calls.
    bool isLeaving = false;
    /// Fields that could not be parsed. They change nothing.
    std::vector<NoticeField> unreadable;

    bool operator==(const EndpointNotice &) const = default;
};

/// What a notice changed in this gateway's state.
struct NoticeChanges {
    bool hasLimitChanged = false;
    /// The backoff ends later than was known.
    bool isBackoffLonger = false;
    /// It was not known before that the endpoint is leaving.
    bool isLeavingNow = false;

    bool operator==(const NoticeChanges &) const = default;
};

}
