#pragma once

#include "budgets/budgetholdersettings.h"
#include "budgets/reservation.h"

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace RadishSwitch
{

/// A portion as counted by its holder. The number zero means that there is no portion.
struct HeldPortion {
    std::uint32_t number = 0;
    std::uint32_t sequence = 0;
    std::int64_t granted = 0;
    std::int64_t spent = 0;
    std::int64_t reserved = 0;
    Instant takenAt{};
    Instant confirmedAt{};

    std::int64_t available() const
    {
        return granted - spent - reserved;
    }

    bool operator==(const HeldPortion &) const = default;
};

struct WaitingReservation {
    ReservationRequest request;
    ReservationCallback callback;
    TimerId timer = 0;
};

/// The state of one budget at a holder. Kept small, because a process may hold hundreds of thousands of budgets; the
/// parts that only a busy budget needs are allocated on demand.
class HeldBudget
{
public:
    HeldBudget(std::uint32_t shard, Instant now);

    std::uint32_t shard() const;

    /// The portion that new reservations are taken from.
    HeldPortion &current();
    const HeldPortion &current() const;

    /// Makes `portion` the current one and returns the previous one. The caller returns it to the ledger, or adds it to
    /// the draining ones while it has open reservations.
    HeldPortion replaceCurrent(const HeldPortion &portion);

    /// Portions that take no new reservations, and are returned once their open reservations have ended.
    const std::vector<HeldPortion> &draining() const;
    void addDraining(const HeldPortion &portion);

    /// The portion with this number; null when it was returned or lost.
    HeldPortion *find(std::uint32_t number);
    void remove(std::uint32_t number);

    std::deque<WaitingReservation> &waiting();
    bool hasWaiting() const;

    /// Frees the parts that only a busy budget needs, if they are empty. Invalidates references from `waiting`.
    void releaseUnused();

    std::size_t waitingCount() const;

    /// Updates the average request size by a reservation of `tokens`.
    void noteReserved(std::int64_t tokens, Instant now);
    /// Updates the average rate of use by `tokens` that were spent.
    void noteSpent(std::int64_t tokens, Instant now, const BudgetHolderSettings &settings);

    /// Average rate of use in tokens per second.
    double tokensPerSecond(Instant now, const BudgetHolderSettings &settings) const;

    /// The number of available tokens that the holder aims for in the current portion.
    std::int64_t targetSize(Instant now, const BudgetHolderSettings &settings) const;

    /// The number of available tokens to keep while another holder finds too few in the ledger.
    std::int64_t sizeInShortage(Instant now, const BudgetHolderSettings &settings) const;

    /// Upper bound of the tokens that can become available without the ledger: those available now and those of all
    /// open reservations.
    std::int64_t maximumAvailable() const;

    /// The smallest grant from the ledger that is worth a write: the tokens that the first waiting request lacks even
    /// if all open reservations are released, or room for a request of the size last seen.
    std::int64_t smallestUseful() const;

    /// Whether a reservation leaves the headroom that is reserved for urgent and for small requests. While the ledger
    /// is unavailable the headroom is a share of the tokens that were available when the outage began.
    bool leavesHeadroom(const ReservationRequest &request, bool isLedgerUnavailable,
                        const BudgetHolderSettings &settings) const;

    /// The tokens beyond the available ones that all waiting requests need; requests that would use up the headroom do
    /// not count.
    std::int64_t shortage(bool isLedgerUnavailable, const BudgetHolderSettings &settings) const;

    Instant lastUsedAt() const;

    /// A TakePortionChange has been submitted and is not finished; there is at most one at a time.
    bool isTakePending = false;
    /// Other changes that were submitted and are not finished; their callbacks still refer to this budget.
    std::uint32_t pendingChanges = 0;
    /// Reservations that are granted and neither settled nor released, including those on lost portions.
    std::uint32_t openReservations = 0;
    /// The latest request came here because the usual holder of the budget could not be reached.
    bool isStandIn = false;
    /// The ledger reported that no such budget exists.
    bool isUnknown = false;
    /// The free tokens that the ledger last reported; `lastFreeAt` is the time of that report.
    std::int64_t lastFree = 0;
    /// The total paid tokens in the same report.
    std::int64_t lastPaid = 0;
    Instant lastFreeAt = Instant::min();
    Instant lastTakeAt = Instant::min();
    /// The tokens that were available when the ledger became unavailable; nothing while it is available.
    std::optional<std::int64_t> availableAtOutage;

private:
    /// The share of the headroom that a reservation must leave: all of it, none, or the share for small requests.
    double requiredHeadroomPart(const ReservationRequest &request, const BudgetHolderSettings &settings) const;

    struct Extras {
        std::vector<HeldPortion> draining;
        std::deque<WaitingReservation> waiting;
    };

    /// Upper bound of the target size, without the tokens that waiting requests need.
    std::int64_t maximumHeld(const BudgetHolderSettings &settings) const;
    Extras &extras();

    std::uint32_t m_shard;
    HeldPortion m_current;
    TokenUse m_use;
    Instant m_lastUsedAt;
    std::int64_t m_lastTokens = 0;
    /// Average size of requests in tokens.
    double m_typicalTokens = 0;
    std::unique_ptr<Extras> m_extras;
};

}
