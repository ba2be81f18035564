#pragma once

#include "limits/poolslots.h"
#include "limits/queuedrequest.h"
#include "limits/servicerate.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace RadishSwitch
{

struct FairQueueSettings {
    /// The number of requests that may wait.
    std::size_t length = 1000;
    /// The share of the process's own slots, rounded down, that is reserved for higher priorities.
    double reservedShare = 0.05;
    /// How long slots stay reserved after the last request of a higher priority.
    Duration reservedFor = std::chrono::seconds(10);
    /// Bounds on the retry-after time of a refusal.
    Duration shortestRetryAfter = std::chrono::milliseconds(200);
    Duration longestRetryAfter = std::chrono::seconds(30);
};

/// The requests that wait for slots of one pool. The highest priority is served first, within a priority the
/// organisations by their shares, counted in tokens (start-time fair queueing), and within an organisation in order of
/// arrival.
///
/// A request is refused at once with Overloaded and a retry-after time when, by the measured rates of the whole queue
/// and of its organisation's queue, it would not be served before its deadline. When the queue is full, it evicts a
/// request of the lowest priority, from the organisation with the largest backlog for its share, and of that the
/// newest.
class FairQueue
{
public:
    explicit FairQueue(FairQueueSettings settings = {});

    /// Changes how many requests may wait. A shorter length evicts no waiting requests at once; from then on each new
    /// request evicts one, which may be the new one itself.
    void setLength(std::size_t length)
    {
        m_settings.length = length;
    }

    /// Enqueues the request, or refuses it at once. Enqueuing may evict another request: call `expire` right after.
    absl::Status enqueue(const QueuedRequest &request, Instant now);

    /// Removes and returns the next request to be served with the free slots, if there is one. The last free slots are
    /// reserved for a higher priority if one was in use recently.
    std::optional<QueuedRequest> next(Instant now, const PoolSlots &slots = {});

    /// Returns the refusals of requests that were evicted and of those that can no longer be served before their
    /// deadlines. Call it after each `enqueue` and about every 50 ms.
    std::vector<QueueRefusal> expire(Instant now);

    /// Removes a request whose caller disconnected. Returns false if it is not waiting.
    bool remove(const RequestId &request, Instant now);

    /// Corrects an organisation's virtual time after a served request cost `actual` instead of `estimated` tokens.
    void noteActualCost(const OrganisationId &organisation, int priority, std::int64_t estimated, std::int64_t actual);

    std::size_t size() const
    {
        return m_locations.size();
    }

private:
    struct OrganisationQueue {
        std::deque<QueuedRequest> requests;
        double share = 1;
        double cost = 0;
        /// Virtual start time of the first request and virtual finish time of the last one served.
        double headStart = 0;
        double lastFinish = 0;
        /// The rate at which this queue was served while requests waited in it.
        ServiceRate rate;
        Instant lastUsed{};
    };

    struct Location {
        int priority = 0;
        OrganisationId organisation;
    };

    struct Head {
        double start = 0;
        OrganisationId organisation;

        bool operator<(const Head &other) const
        {
            return start != other.start ? start < other.start : organisation < other.organisation;
        }
    };

    /// The requests of one priority: a queue for each organisation, and the queues ordered by the virtual start times
    /// of their first requests.
    struct Band {
        std::map<OrganisationId, OrganisationQueue> queues;
        std::set<Head> heads;
        double virtualTime = 0;
        double cost = 0;
        Instant lastRequest{};
    };

    using Bands = std::map<int, Band, std::greater<>>;

    void add(const QueuedRequest &request, Instant now);
    QueuedRequest take(Band &band, const OrganisationId &organisation, std::size_t index, Instant now);
    QueuedRequest serveFirst(Band &band, Instant now);
    QueuedRequest evictOne(Instant now);
    double costAhead(const QueuedRequest &request) const;
    Duration estimateWait(const QueuedRequest &request, Instant now);
    Duration timeToServe(const ServiceRate &rate, double cost) const;
    void expireBand(Band &band, double costAbove, Instant now);
    absl::Status refusal(Duration wait) const;
    bool hasSlotFor(int priority, const PoolSlots &slots, Instant now) const;
    void advance(Instant now);

    FairQueueSettings m_settings;
    Bands m_bands;
    absl::flat_hash_map<RequestId, Location> m_locations;
    std::vector<QueueRefusal> m_refusals;
    ServiceRate m_rate;
    double m_typicalCost = 1;
};

}
