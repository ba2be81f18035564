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
    /// Number of endpoints that must have crashed under a request before it is barred.
    int crashThreshold = 3;
    /// Crashes that become known within this time may have a common cause, such as a power loss, which breaks off all
    /// copies of a frequent request at once. Reports of crashes that happen at the same moment arrive spread over up to
    /// this time.
    Duration coincidenceWindow = std::chrono::milliseconds(500);
    /// Maximum number of crashes within one `coincidenceWindow` that count.
    int maxCoincidentCrashes = 2;
    /// Maximum number of requests whose crashes are remembered; the oldest is forgotten first. Each takes about 200
    /// bytes.
    std::size_t maxRequests = 10'000;
};

/// Finds poison requests: those that crash every endpoint that runs them.
///
/// A crash breaks off all runs at an endpoint, and nothing indicates which of them was the cause. But a poison request
/// is among them each time and is never answered completely, while the requests that ran beside it are answered by
/// other endpoints or do not come again. A request is therefore barred once enough endpoints have crashed under it
/// since it was last answered, not counting crashes that another barred request explains better.
///
/// Crashes at the same moment count little, since a power loss breaks off all copies of a frequent request, unless a
/// run was sent when the earlier crashes were already known.
class PoisonDetector
{
public:
    explicit PoisonDetector(PoisonSettings settings = {});

    /// Adds a gateway's report. A crash counts once for each endpoint and request, whoever reports it. `source`
    /// identifies the report. Returns the requests that are barred from now on.
    std::vector<RequestFingerprint> addReport(const std::string &source, const CrashReport &report, Instant now);

    /// Removes the crashes that came with a report.
    void forget(const std::string &source);

    /// Another gateway has barred the request, perhaps because of crashes that are not known here.
    void bar(const RequestFingerprint &request);

    /// The bar by another gateway is lifted.
    void lift(const RequestFingerprint &request);

    bool isBarred(const RequestFingerprint &request) const;

    /// Number of endpoints known to have crashed under a request since it was last answered.
    std::size_t crashes(const RequestFingerprint &request) const;

    /// The number of those crashes that count against it.
    int countedCrashes(const RequestFingerprint &request) const;

    std::size_t barredCount() const;

    /// Whether no request is barred or has crashes.
    bool isEmpty() const
    {
        return m_requests.empty();
    }

private:
    struct Crash {
        EndpointIncarnation incarnation;
        Instant knownAt{};
        std::string source;
        /// Crashes that counted against the request when the run was sent, as in the report.
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
    /// In the order in which they were first reported or barred.
    std::deque<RequestFingerprint> m_order;
    /// The requests that ran at each endpoint that crashed.
    absl::flat_hash_map<EndpointIncarnation, std::vector<RequestFingerprint>> m_ranAt;
};

}
