#include "limits/intakebudget.h"

#include <algorithm>

namespace RadishSwitch
{

namespace
{

constexpr double kBytesPerMegabit = 1e6 / 8;

/// Up to this queue requests are accepted. The tightest latency targets of callers are 120 to 150 ms, of which an
/// answer takes 30 ms.
constexpr Duration kFreeQueue = std::chrono::milliseconds(30);
/// What large requests may use above that.
constexpr Duration kLargeRequestQueue = std::chrono::milliseconds(45);
/// From this queue on nothing is accepted, as with the delay of the process and of new connections.
constexpr Duration kFullQueue = std::chrono::milliseconds(60);
/// Up to this queue the link counts as idle.
constexpr Duration kIdleQueue = std::chrono::milliseconds(5);

/// A request of this size takes under 2 ms of the narrowest links.
constexpr std::int64_t kSmallRequest = 2 * 1024;
/// Added to the body of each accepted request for its head and a short answer, so that many requests without a body
/// count as well.
constexpr std::int64_t kBytesAroundBody = 1024;
/// Use of the link from which on it is shared, by the bytes that passed or by those that were declared.
constexpr double kContendedUse = 0.7;
/// What is shared among organisations is at least what the link carries in this time. Where nearly all is refused, the
/// little that is accepted would make everybody exceed an equal part of it.
constexpr Duration kMinimumShared = std::chrono::milliseconds(250);

/// The incoming direction is full if it carried this part of its bandwidth in so many slots. Heads and bodies come in
/// bursts, which a full link evens out.
constexpr double kFullUse = 0.9;
constexpr std::int64_t kFullSlots = 4;
/// For how long before it was counted a byte may have been written without having passed.
constexpr Duration kBurst = std::chrono::milliseconds(50);
/// Bytes that were received within this time may still be a queue: a process that did not run reads them all at once.
constexpr Duration kCatchUp = std::chrono::milliseconds(100);

/// There is nothing to wait for at another instance.
constexpr Duration kMinimumRetryAfter = std::chrono::milliseconds(20);
constexpr double kRetrySpread = 2;

/// Bound on memory: an entry takes 250 bytes. Further organisations count together with the unknown ones.
constexpr std::size_t kMaximumOrganisations = 1000;

/// The part of `span` that lies in its last `recent`.
double partOf(Duration recent, Duration span)
{
    return span > recent ? std::chrono::duration<double>(recent) / std::chrono::duration<double>(span) : 1;
}

}

IntakeBudget::IntakeBudget(IntakeBudgetSettings settings, const LinkTraffic &traffic, RandomSource &random)
    : m_settings(settings)
    , m_bytesPerSecond(settings.megabitsPerSecond * kBytesPerMegabit)
    , m_traffic(traffic)
    , m_random(random)
    , m_in(m_bytesPerSecond)
    , m_out(m_bytesPerSecond)
    , m_totals(traffic.totals())
{
}

std::optional<RefusalReason> IntakeBudget::refusalOf(const IntakeRequest &request, Instant now)
{
    if (!isActive()) {
        return std::nullopt;
    }
    update(now);
    Organisation &organisation = see(request.organisation, now);
    const std::optional<RefusalReason> reason =
        judge(request, isOverShare(organisation, bounded(request.bytes), now), now);
    if (!reason) {
        accept(request, organisation, now);
    }
    return reason;
}

std::optional<RefusalReason> IntakeBudget::judge(const IntakeRequest &request, bool isOverShare, Instant now) const
{
    const std::int64_t bytes = bounded(request.bytes);
    if (isOverShare) {
        const Duration promised = promisedQueue(now);
        const bool hasRoom = promised < kIdleQueue || promised + timeOf(bytes) < kLargeRequestQueue;
        return hasRoom ? std::nullopt : std::optional(RefusalReason::Share);
    }
    const Duration present = presentQueue();
    if (present < kFreeQueue) {
        return std::nullopt;
    }
    const std::int64_t excess = std::max<std::int64_t>(bytes - kSmallRequest, 0);
    const bool isTooLarge = excess > 0 && present + timeOf(excess) > kLargeRequestQueue;
    return isTooLarge || present >= kFullQueue ? std::optional(RefusalReason::LinkBytes) : std::nullopt;
}

void IntakeBudget::accept(const IntakeRequest &request, Organisation &organisation, Instant now)
{
    const std::int64_t bytes = bounded(request.bytes);
    m_in.add(static_cast<double>(bytes));
    organisation.bytes.add(bytes + kBytesAroundBody, now);
    m_accepted.add(bytes + kBytesAroundBody, now);
}

// The connection's own bytes were added last, so that at most `age` of them have drained. Taking out less than what is
// left does no harm, since the rest drains within the time of one request.
void IntakeBudget::noteCutOff(std::int64_t unread, Duration age, Instant now)
{
    if (!isActive()) {
        return;
    }
    update(now);
    m_in.remove(static_cast<double>(std::max<std::int64_t>(bounded(unread) - carriedIn(age), 0)));
}

Duration IntakeBudget::retryAfter(Instant now)
{
    if (!isActive()) {
        return kMinimumRetryAfter;
    }
    update(now);
    const Duration wait = std::max(promisedQueue(now) - kFreeQueue, kMinimumRetryAfter);
    return wait + std::chrono::duration_cast<Duration>(wait * kRetrySpread * m_random.fraction());
}

Duration IntakeBudget::queue(Instant now)
{
    if (!isMeasuring()) {
        return Duration::zero();
    }
    update(now);
    return presentQueue();
}

double IntakeBudget::linkUse(Instant now)
{
    if (!isMeasuring()) {
        return 0;
    }
    update(now);
    const auto in = static_cast<double>(m_passedIn.sum(now));
    const auto out = static_cast<double>(m_passedOut.sum(now));
    return std::max(in, out) / (m_bytesPerSecond * std::chrono::duration<double>(ByteWindow::kSpan).count());
}

void IntakeBudget::update(Instant now)
{
    const TrafficTotals totals = m_traffic.totals();
    const std::int64_t in = totals.in - m_totals.in;
    const std::int64_t out = totals.out - m_totals.out;
    const std::int64_t declaredIn = totals.declaredIn - m_totals.declaredIn;
    const Duration span = std::max(now - m_updatedAt, Duration::zero());
    // Bytes that passed more than a moment ago have drained during the span. Nothing calls this while no requests come,
    // and a whole second of answers would otherwise count as a queue that is there now.
    const double passed = static_cast<double>(std::max<std::int64_t>(in - declaredIn, 0));
    const double recent = partOf(kCatchUp, span);
    m_in.add((1 - recent) * passed);
    m_in.advance(span);
    m_in.addPassed(recent * passed);
    // Bytes are written in bursts, of which a body is one. Those of a short span count as written at its end.
    const double inBurst = partOf(kBurst, span);
    m_out.add((1 - inBurst) * static_cast<double>(out));
    m_out.advance(span);
    m_out.add(inBurst * static_cast<double>(out));
    m_passedIn.addBetween(in, m_updatedAt, now);
    m_passedOut.addBetween(out, m_updatedAt, now);
    m_totals = totals;
    m_updatedAt = now;
}

IntakeBudget::Organisation &IntakeBudget::see(const OrganisationId &name, Instant now)
{
    if (now - m_prunedAt >= ByteWindow::kSlot) {
        m_prunedAt = now;
        absl::erase_if(m_organisations, [now](const auto &entry) {
            return now - entry.second.seenAt >= ByteWindow::kSpan;
        });
    }
    const bool isKept = m_organisations.size() < kMaximumOrganisations || m_organisations.contains(name);
    Organisation &organisation = m_organisations[isKept ? name : OrganisationId()];
    organisation.seenAt = now;
    return organisation;
}

bool IntakeBudget::isOverShare(const Organisation &organisation, std::int64_t bytes, Instant now)
{
    const std::size_t n = m_organisations.size();
    const std::int64_t accepted = m_accepted.sum(now);
    const double acceptedUse = static_cast<double>(accepted) / static_cast<double>(carriedIn(ByteWindow::kSpan));
    if (n <= 1 || std::max(linkUse(now), acceptedUse) < kContendedUse) {
        return false;
    }
    const std::int64_t own = bytes + kBytesAroundBody;
    const std::int64_t shared = std::max(accepted + own, carriedIn(kMinimumShared));
    return (organisation.bytes.sum(now) + own) * static_cast<std::int64_t>(n) > shared;
}

bool IntakeBudget::isIncomingFull(Instant now) const
{
    const auto passed = static_cast<double>(m_passedIn.sumOfLast(kFullSlots, now));
    return passed > kFullUse * static_cast<double>(carriedIn(kFullSlots * ByteWindow::kSlot));
}

Duration IntakeBudget::presentQueue() const
{
    return m_in.length() + m_out.length();
}

Duration IntakeBudget::promisedQueue(Instant now) const
{
    const Duration promised = presentQueue() + m_in.length();
    return isIncomingFull(now) ? std::max(promised, kLargeRequestQueue) : promised;
}

Duration IntakeBudget::timeOf(std::int64_t bytes) const
{
    return m_in.timeOf(static_cast<double>(bytes));
}

std::int64_t IntakeBudget::bounded(std::int64_t bytes) const
{
    return std::clamp<std::int64_t>(bytes, 0, carriedIn(kFullQueue));
}

std::int64_t IntakeBudget::carriedIn(Duration span) const
{
    return static_cast<std::int64_t>(m_bytesPerSecond * std::chrono::duration<double>(span).count());
}

}
