#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"
#include "base/tokenbucket.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include <cstdint>

namespace RadishSwitch
{

/// An organisation's fleet-wide ceilings, as configured in the table. Zero means that there is no ceiling.
struct OrganisationCeilings {
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    std::int64_t concurrentRequests = 0;

    bool operator==(const OrganisationCeilings &) const = default;
};

/// Enforces this process's share of the organisations' ceilings.
///
/// The following bounds hold as long as the shares of all processes add up to at most one. Requests: in any span of T
/// seconds the fleet admits at most `ceiling * T` plus a burst of one second's worth of the ceiling. The burst is at
/// least one request in each process, since a smaller bucket would never admit anything, and a process that joins
/// during the span adds its share of the burst once more. Tokens: the same, with a burst of one second's worth of
/// tokens. A request counts with its worst case from its admission on and with its actual use from its end on. A span
/// may therefore also contain what requests already running at its start had reserved and did not use, and one request
/// larger than the burst. Concurrent requests: the ceiling, but at least one request in each process.
class CeilingMeter
{
public:
    /// Sets or changes the fleet-wide ceilings of an organisation.
    void setCeilings(const OrganisationId &organisation, const OrganisationCeilings &ceilings, Instant now);

    /// Sets the share of every ceiling that this process may use, from 0 to 1.
    void setShare(double shareOfFleet, Instant now);

    /// Admits a request with its worst case in tokens, or fails with CeilingReached and the time after which the
    /// request would fit. For the rates that time is exact unless other requests use up the room first. For concurrency
    /// it is the mean time until a running request ends.
    absl::Status admit(const OrganisationId &organisation, std::int64_t tokens, Instant now);

    /// Ends an admitted request that used `used` of the `tokens` it was admitted with. A request that was refused
    /// further along the way used none.
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
