#pragma once

#include "base/identifier.h"
#include "base/randomsource.h"
#include "base/timerservice.h"
#include "limits/bytewindow.h"
#include "limits/linkqueue.h"
#include "limits/linktraffic.h"
#include "limits/refusalreason.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

namespace RadishSwitch
{

struct IntakeBudgetSettings {
    /// Bandwidth of the link in each direction, in Mbit/s; zero if it is unknown.
    double megabitsPerSecond = 0;
    /// Whether requests are refused; else only the use of the link is measured.
    bool isRefusing = false;

    bool operator==(const IntakeBudgetSettings &) const = default;
};

/// What the head of a request tells about its load.
struct IntakeRequest {
    /// Empty for callers without a known API key, which count as one organisation.
    OrganisationId organisation;
    /// Declared length of the body; zero if it is not declared.
    std::int64_t bytes = 0;

    bool operator==(const IntakeRequest &) const = default;
};

/// Decides which requests a gateway with a narrow link refuses, from the head of the request, by counting bytes.
///
/// Load pattern: one organisation sends several times what the link carries, with bodies of up to 70 kB, which take
/// 56 ms in each direction of a link of 10 Mbit/s. The link's queue delays everybody at the gateway: small urgent
/// requests of other organisations, and the reservations of tokens that they wait for. A rule that measures the delay
/// refuses only once the queue is there, and then refuses all alike, mostly those that did not cause it.
///
/// The measure is the queue of the link, predicted for both directions: the declared length of an accepted request is
/// in the incoming direction at once; all other bytes are added when they are counted; both drain at the link's
/// bandwidth. The *present* queue is the sum of both directions, which a small request meets on its way through. The
/// *promised* queue contains the bodies that are still to come a second time, since each is sent on. The rules:
///
/// - Up to 30 ms of present queue a request is accepted. Above that, requests are refused whose bytes beyond 2 KB would
///   make the queue longer than 45 ms (`LinkBytes`). Small requests are accepted up to 60 ms, and then all are refused,
///   since own messages such as reservations must stay fast.
/// - A request of an organisation over its share is refused if it would make the promised queue 45 ms or longer
///   (`Share`). So a flood stops there, and the small requests of all others have the rest to themselves; with a body
///   of 56 ms in each direction accepted whenever there is a little room, they would be late after each. At a nearly
///   idle link large requests are accepted too, so that their callers are not shut out.
/// - If the incoming direction was full for 200 ms, requests of organisations over their share are refused altogether:
///   the bytes of refused requests come all the same, and the queue that they make is before the link, where it is not
///   seen.
///
/// An organisation is over its share if its accepted bytes of the last second exceed an equal part of all accepted
/// bytes among the organisations seen in that second, and the link was used by at least seven tenths. Below that a
/// queue is a burst that passes by itself. What others leave unused goes to anybody while the queue is short, so that
/// the link does not idle. An organisation that is alone has no share.
///
/// A declared length may be wrong. A request counts with at most what the link carries in 60 ms, so that a single one
/// can't shut out others for longer; what is declared and does not come drains like the rest, and is taken out when its
/// connection ends.
class IntakeBudget
{
public:
    /// `traffic` is counted by the connections.
    IntakeBudget(IntakeBudgetSettings settings, const LinkTraffic &traffic, RandomSource &random);

    /// Whether `refusalOf` may refuse anything.
    bool isActive() const
    {
        return m_settings.isRefusing && isMeasuring();
    }

    /// Decides about a request whose head has arrived; nothing if it is accepted. An accepted request is counted at
    /// once. Asked once for each request.
    std::optional<RefusalReason> refusalOf(const IntakeRequest &request, Instant now);

    /// An accepted request ended `age` after its acceptance, with `unread` of the declared bytes missing.
    void noteCutOff(std::int64_t unread, Duration age, Instant now);

    /// When a caller that is refused now should come back: once the queue is expected to be below 30 ms, and up to
    /// twice that time later, at random, so that callers that are refused together don't return together.
    Duration retryAfter(Instant now);

    /// The present queue.
    Duration queue(Instant now);

    /// Bytes of the fuller direction in the last second, relative to what the link carries; zero if the bandwidth is
    /// unknown.
    double linkUse(Instant now);

private:
    struct Organisation {
        /// Accepted bytes.
        ByteWindow bytes;
        Instant seenAt{};
    };

    bool isMeasuring() const
    {
        return m_settings.megabitsPerSecond > 0;
    }

    void update(Instant now);
    Organisation &see(const OrganisationId &name, Instant now);
    bool isOverShare(const Organisation &organisation, std::int64_t bytes, Instant now);
    std::optional<RefusalReason> judge(const IntakeRequest &request, bool isOverShare, Instant now) const;
    /// Whether the incoming direction was full lately.
    bool isIncomingFull(Instant now) const;
    void accept(const IntakeRequest &request, Organisation &organisation, Instant now);
    /// What a small request meets on its way through the gateway.
    Duration presentQueue() const;
    /// The same with the bodies that are still to be sent on.
    Duration promisedQueue(Instant now) const;
    Duration timeOf(std::int64_t bytes) const;
    std::int64_t bounded(std::int64_t bytes) const;
    std::int64_t carriedIn(Duration span) const;

    const IntakeBudgetSettings m_settings;
    const double m_bytesPerSecond;
    const LinkTraffic &m_traffic;
    RandomSource &m_random;
    LinkQueue m_in;
    LinkQueue m_out;
    ByteWindow m_passedIn;
    ByteWindow m_passedOut;
    TrafficTotals m_totals;
    Instant m_updatedAt{};
    /// Bytes accepted of all organisations.
    ByteWindow m_accepted;
    absl::flat_hash_map<OrganisationId, Organisation> m_organisations;
    Instant m_prunedAt{};
};

}
