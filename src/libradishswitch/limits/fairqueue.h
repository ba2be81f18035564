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
    /// Requests that may wait.
    std::size_t length = 1000;
    /// The part of the own slots, rounded down, that is kept free for higher priorities.
    double reservedShare = 0.05;
    /// For as long after the last request of a higher priority.
    Duration reservedFor = std::chrono::seconds(10);
    /// Bounds on the time after which a refused caller is told to come back.
    Duration shortestRetryAfter = std::chrono::milliseconds(200);
    Duration longestRetryAfter = std::chrono::seconds(30);
};

/// The requests that wait for slots of one pool: the highest priority first; within a priority the organisations by
/// their shares, counted in tokens (start-time fair queueing); within an organisation in order of arrival.
///
/// A request whose turn will not come before its deadline, by the rates at which the queue and its organisation's queue
/// have been served, is refused at once with Overloaded and the time to come back. When the queue is full, the lowest
/// priority gives way, in it the organisation that has the most waiting for its share, and of that the newest request.
class FairQueue
{
public:
    explicit FairQueue(FairQueueSettings settings = {});

    /// Changes how many may wait. Those beyond a shorter length stay; new requests must be more deserving than they.
    void setLength(std::size_t length)
    {
        m_settings.length = length;
    }

    /// Takes the request in, or refuses it at once. Taking it in may make others give way: ask `expire` right after.
    absl::Status enqueue(const QueuedRequest &request, Instant now);

    /// The next request to be served in the slots that there is, if there is one. The last free slots are kept for a
    /// higher priority that has been in use lately.
    std::optional<QueuedRequest> next(Instant now, const PoolSlots &slots = {});

    /// The final answers that have become due: requests that gave way, and those that can't make their deadline any
    /// more. Call it after each `enqueue` and every 50 ms or so.
    std::vector<QueueRefusal> expire(Instant now);

    /// Takes out a request whose caller went away. False when it is not waiting.
    bool remove(const RequestId &request, Instant now);

    /// A served request cost `actual` and not `estimated` tokens: its organisation's turn is moved accordingly.
    void noteActualCost(const OrganisationId &organisation, int priority, std::int64_t estimated, std::int64_t actual);

    /// How long a request of this kind would wait, by the rate measured. Zero until a rate is known.
    Duration expectedWait(const QueuedRequest &request, Instant now);

    std::size_t size() const
    {
        return m_locations.size();
    }

private:
    struct OrganisationQueue {
        std::deque<QueuedRequest> requests;
        double share = 1;
        double cost = 0;
        /// Virtual times of the request at the head and of the one served last.
        double headStart = 0;
        double lastFinish = 0;
        /// How fast this queue has been served while something waited in it.
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

    /// One priority: a queue for each organisation, and the queues by the virtual start of their heads.
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
