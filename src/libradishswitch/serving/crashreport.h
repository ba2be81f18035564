#pragma once

#include "serving/requestfingerprint.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace RadishSwitch
{

/// One incarnation of an endpoint: one that starts again may keep its id.
struct EndpointIncarnation {
    EndpointId endpoint;
    /// As in its listing.
    std::int64_t startedAtMilliseconds = 0;

    auto operator<=>(const EndpointIncarnation &) const = default;
    bool operator==(const EndpointIncarnation &) const = default;

    template<typename H>
    friend H AbslHashValue(H h, const EndpointIncarnation &it)
    {
        return H::combine(std::move(h), it.endpoint, it.startedAtMilliseconds);
    }
};

/// A run that broke off when its endpoint crashed.
struct CrashedRun {
    EndpointIncarnation incarnation;
    RequestFingerprint request;
    /// Crashes that counted against the request when this run was sent.
    int crashesBefore = 0;

    bool operator==(const CrashedRun &) const = default;
};

/// What one gateway has seen of crashes.
struct CrashReport {
    std::vector<CrashedRun> crashed;
    /// Requests that others may hold for the cause of crashes, and that an endpoint has run to the end since.
    std::vector<RequestFingerprint> answered;

    bool isEmpty() const
    {
        return crashed.empty() && answered.empty();
    }

    bool operator==(const CrashReport &) const = default;
};

}
