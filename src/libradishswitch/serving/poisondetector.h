#pragma once

#include "base/timerservice.h"
#include "serving/crashreport.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace RadishSwitch
{

struct PoisonSettings {
    /// Endpoints that must have crashed under a request before it is taken for the cause.
    int crashThreshold = 3;
    /// Endpoints that crash within this may have a cause of their own in common, such as a loss of power, which breaks
    /// off all copies of a frequent request at once. News of one moment is spread over as much.
    Duration coincidenceWindow = std::chrono::milliseconds(500);
    /// Crashes of one such moment that count.
    int maxCoincidentCrashes = 2;
    /// Requests of which crashes are remembered; the oldest is forgotten first. Some 200 bytes each.
    std::size_t maxRequests = 10'000;
};

/// Finds the requests that crash each endpoint which runs them.
///
/// A crash breaks off all that runs at an endpoint, and nothing tells which of it was the cause. But a request that
/// crashes every endpoint is there each time and is never answered whole, while what ran beside it is answered
/// elsewhere, or does not come again. So a request is barred once enough endpoints have crashed under it since it was
/// last answered, without those whose crashes another barred request explains better.
///
/// Endpoints that crash at one moment count little, since a loss of power breaks off all copies of a frequent
/// request; unless a run was sent when the crashes before it were known already.
class PoisonDetector
{
public:
    explicit PoisonDetector(PoisonSettings settings = {});

    /// Takes in what a gateway has seen, once for each endpoint and request. `source` names the report. Gives the
    /// requests that are barred from now on.
    std::vector<RequestFingerprint> addReport(const std::string &source, const CrashReport &report, Instant now);

    /// The report counts no longer.
    void forget(const std::string &source);

    /// Another gateway has barred the request, by crashes that may not all be known here.
    void bar(const RequestFingerprint &request);

    /// That bar is lifted.
    void lift(const RequestFingerprint &request);

    bool isBarred(const RequestFingerprint &request) const;

    /// Endpoints known to have crashed under a request since it was last answered.
    std::size_t crashes(const RequestFingerprint &request) const;

    /// Those of them that count against it.
    int countedCrashes(const RequestFingerprint &request) const;

    std::size_t barredCount() const;

    /// Whether nothing is held against any request.
    bool isEmpty() const
    {
        return m_requests.empty();
    }

private:
    struct Crash {
        EndpointIncarnation incarnation;
        Instant knownAt{};
        std::string source;
        /// As in the report.
        int crashesBefore = 0;
    };

    struct Request {
        /// In the order in which they became known.
        std::vector<Crash> crashes;
        bool isBarredHere = false;
        bool isBarredElsewhere = false;

        bool isBarred() const
        {
            return isBarredHere || isBarredElsewhere;
        }
    };

    bool note(const std::string &source, const CrashedRun &run, Instant now);
    void clear(const RequestFingerprint &request);
    bool isExplained(const EndpointIncarnation &incarnation, const RequestFingerprint &request) const;
    void eraseIfEmpty(const RequestFingerprint &request);
    void forgetOldest();

    const PoisonSettings m_settings;
    absl::flat_hash_map<RequestFingerprint, Request> m_requests;
    /// In the order in which they were first held for a cause.
    std::deque<RequestFingerprint> m_order;
    /// What ran at each endpoint that crashed.
    absl::flat_hash_map<EndpointIncarnation, std::vector<RequestFingerprint>> m_ranAt;
};

}
