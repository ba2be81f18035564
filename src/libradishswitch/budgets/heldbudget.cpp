#include "budgets/heldbudget.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// Weight of a new request in the average request size.
constexpr double kSizeStep = 0.1;

double secondsOf(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

const std::vector<HeldPortion> kNoPortions;

}

HeldBudget::HeldBudget(std::uint32_t shard, Instant now)
    : m_shard(shard)
    , m_use(now)
    , m_lastUsedAt(now)
{
}

std::uint32_t HeldBudget::shard() const
{
    return m_shard;
}

HeldPortion &HeldBudget::current()
{
    return m_current;
}

const HeldPortion &HeldBudget::current() const
{
    return m_current;
}

HeldPortion HeldBudget::replaceCurrent(const HeldPortion &portion)
{
    return std::exchange(m_current, portion);
}

const std::vector<HeldPortion> &HeldBudget::draining() const
{
    return m_extras ? m_extras->draining : kNoPortions;
}

void HeldBudget::addDraining(const HeldPortion &portion)
{
    extras().draining.push_back(portion);
}

HeldPortion *HeldBudget::find(std::uint32_t number)
{
    if (number != 0 && m_current.number == number) {
        return &m_current;
    }
    if (!m_extras) {
        return nullptr;
    }
    const auto it = std::find_if(m_extras->draining.begin(), m_extras->draining.end(), [number](const auto &it) {
        return it.number == number;
    });
    return it == m_extras->draining.end() ? nullptr : &*it;
}

void HeldBudget::remove(std::uint32_t number)
{
    if (m_current.number == number) {
        m_current = HeldPortion();
    } else if (m_extras) {
        std::erase_if(m_extras->draining, [number](const HeldPortion &it) {
            return it.number == number;
        });
    }
}

std::deque<WaitingReservation> &HeldBudget::waiting()
{
    return extras().waiting;
}

bool HeldBudget::hasWaiting() const
{
    return m_extras && !m_extras->waiting.empty();
}

void HeldBudget::releaseUnused()
{
    if (m_extras && m_extras->draining.empty() && m_extras->waiting.empty()) {
        m_extras.reset();
    }
}

std::size_t HeldBudget::waitingCount() const
{
    return m_extras ? m_extras->waiting.size() : 0;
}

void HeldBudget::noteReserved(std::int64_t tokens, Instant now)
{
    m_lastTokens = tokens;
    m_typicalTokens += m_typicalTokens == 0 ? static_cast<double>(tokens)
                                            : kSizeStep * (static_cast<double>(tokens) - m_typicalTokens);
    m_lastUsedAt = now;
}

void HeldBudget::noteSpent(std::int64_t tokens, Instant now, const BudgetHolderSettings &settings)
{
    m_use.note(tokens, now, settings.use);
    m_lastUsedAt = now;
}

double HeldBudget::tokensPerSecond(Instant now, const BudgetHolderSettings &settings) const
{
    return m_use.tokensPerSecond(now, settings.use);
}

std::int64_t HeldBudget::targetSize(Instant now, const BudgetHolderSettings &settings) const
{
    // The holder asks for more tokens at the low-water mark, and the rest must then still last for the survival time.
    const Duration survivalTime = isStandIn ? settings.standInSurvivalTime : settings.survivalTime;
    const double lowWater = m_use.tokensWithin(survivalTime, now, settings.use);
    const double byUse = lowWater / settings.lowWaterShare;
    // Request sizes differ by a factor of a hundred. Room for several requests of the last size would give a large part
    // of a small budget to the holder that received one large request, and strand it there.
    const int requestsAhead = isStandIn ? 1 : settings.requestsAhead;
    const double byRequests = std::max(m_typicalTokens * requestsAhead, static_cast<double>(m_lastTokens));
    return std::min(static_cast<std::int64_t>(std::max(byUse, byRequests)), maximumHeld(settings));
}

// The tokens that a holder has are lost to the budget when the holder dies, and all holders may die at once, for
// instance through a loss of power. While much of a budget is left, it is more useful to hold enough to get through an
// outage of the store. Near the end of a budget it is more useful to limit that loss, because every later call would be
// refused if the rest were stranded with dead holders. So the held share decreases with the share that is left.
std::int64_t HeldBudget::maximumHeld(const BudgetHolderSettings &settings) const
{
    if (lastFreeAt == Instant::min() || settings.mostHeldShare >= 1) {
        return std::numeric_limits<std::int64_t>::max();
    }
    const auto left = static_cast<double>(lastFree + std::max<std::int64_t>(m_current.available(), 0));
    const double leftShare = lastPaid > 0 ? left / static_cast<double>(lastPaid) : 0;
    const double share = std::clamp(leftShare * settings.heldPerLeft, settings.leastHeldShare, settings.mostHeldShare);
    return static_cast<std::int64_t>(left * share);
}

std::int64_t HeldBudget::sizeInShortage(Instant now, const BudgetHolderSettings &settings) const
{
    if (now - m_lastUsedAt >= settings.shortageSurvivalTime) {
        return 0;
    }
    const double byUse = tokensPerSecond(now, settings) * secondsOf(settings.shortageSurvivalTime);
    return std::max(static_cast<std::int64_t>(byUse), m_lastTokens);
}

std::int64_t HeldBudget::maximumAvailable() const
{
    std::int64_t sum = m_current.available() + m_current.reserved;
    for (const HeldPortion &it : draining()) {
        sum += it.reserved;
    }
    return sum;
}

std::int64_t HeldBudget::smallestUseful() const
{
    const std::int64_t useful =
        hasWaiting() ? m_extras->waiting.front().request.tokens - maximumAvailable() : m_lastTokens;
    return std::max<std::int64_t>(useful, 1);
}

// Without headroom, a budget near its end, or a portion during an outage, is used up by whatever requests come first.
// Long requests of low urgency take most of the tokens, and short ones are refused from then on. The headroom serves
// only urgent and small requests; where these take an eighth of the tokens, it lasts them eight times as long. Large
// urgent requests would use it up just as quickly: a headroom of 0.03 of a budget lasted them 1.5 seconds, and small
// requests got nothing. So they must leave a share of it to the small ones.
double HeldBudget::requiredHeadroomPart(const ReservationRequest &request, const BudgetHolderSettings &settings) const
{
    const auto tokens = static_cast<double>(request.tokens);
    if (tokens <= m_typicalTokens * (request.isUrgent ? 1 : settings.headroomSmallShare)) {
        return 0;
    }
    return request.isUrgent ? settings.headroomForSmall : 1;
}

bool HeldBudget::leavesHeadroom(const ReservationRequest &request, bool isLedgerUnavailable,
                                const BudgetHolderSettings &settings) const
{
    const double part = requiredHeadroomPart(request, settings);
    if (part <= 0) {
        return true;
    }
    const std::int64_t left = m_current.available() - request.tokens;
    if (isLedgerUnavailable) {
        const auto atOutage = static_cast<double>(availableAtOutage.value_or(0));
        return static_cast<double>(left) >= atOutage * settings.awayHeadroomShare * part;
    }
    const bool isKnown = lastFreeAt != Instant::min();
    const double kept = static_cast<double>(lastPaid) * settings.headroomShare * part;
    return !isKnown || static_cast<double>(left + lastFree) >= kept;
}

std::int64_t HeldBudget::shortage(bool isLedgerUnavailable, const BudgetHolderSettings &settings) const
{
    std::int64_t sum = -m_current.available();
    if (m_extras) {
        for (const WaitingReservation &it : m_extras->waiting) {
            sum += leavesHeadroom(it.request, isLedgerUnavailable, settings) ? it.request.tokens : 0;
        }
    }
    return sum;
}

Instant HeldBudget::lastUsedAt() const
{
    return m_lastUsedAt;
}

HeldBudget::Extras &HeldBudget::extras()
{
    if (!m_extras) {
        m_extras = std::make_unique<Extras>();
    }
    return *m_extras;
}

}
