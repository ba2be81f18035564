#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"
#include "base/tokenbucket.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include <cstdint>

namespace RadishSwitch
{

/// An organisation's ceilings over the whole fleet, as in the table. Zero stands for no ceiling.
struct OrganisationCeilings {
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    std::int64_t concurrentRequests = 0;

    bool operator==(const OrganisationCeilings &) const = default;
};

/// Holds organisations to this process's part of their ceilings.
///
/// The stated error, as long as the parts of all processes add up to no more than one. Requests: in any span of T
/// seconds the fleet admits at most `ceiling * T` plus a burst, which is one second's worth of the ceiling, but no less
/// than one request in each process, since a smaller part would never admit anything; and a process that joins in that
/// span brings its part of the burst once more. Tokens: the same with one
/// second's worth of tokens, where a request counts with its worst case from its admission and with its true use from
/// its end; so a span may also take what requests under way at its beginning had reserved and did not use, and one
/// request larger than the burst. Concurrent requests: the ceiling, but no less than one request in each process.
class CeilingMeter
{
public:
    /// Sets or changes the fleet-wide ceilings of an organisation.
    void setCeilings(const OrganisationId &organisation, const OrganisationCeilings &ceilings, Instant now);

    /// Sets which part of every ceiling is this process's, from 0 to 1.
    void setShare(double shareOfFleet, Instant now);

    /// Counts a request in, with its worst case in tokens, or fails with CeilingReached and the time after which it
    /// would fit. For the rates that time is exact as long as nobody else takes the room; for concurrency it is the
    /// mean time until a request ends.
    absl::Status admit(const OrganisationId &organisation, std::int64_t tokens, Instant now);

    /// A request that was admitted is over: it used `used` of the `tokens` it was admitted with. Refused further on,
    /// it used none.
    void noteFinished(const OrganisationId &organisation, std::int64_t tokens, std::int64_t used, Duration ran,
                      Instant now);

private:
    struct Meter {
        OrganisationCeilings ceilings;
        TokenBucket requests;
        TokenBucket tokens;
        std::int64_t running = 0;
        Duration meanRun = std::chrono::seconds(1);
    };

    Duration waitFor(const Meter &meter, std::int64_t tokens, Instant now) const;
    static void takeFrom(Meter &meter, std::int64_t tokens, Instant now);
    void applyShare(Meter &meter, Instant now);
    std::int64_t concurrentLimit(const Meter &meter) const;

    double m_share = 1;
    absl::flat_hash_map<OrganisationId, Meter> m_meters;
};

}
