#pragma once

#include "budgets/budgetholdersettings.h"
#include "budgets/reservation.h"

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace RadishSwitch
{

/// A portion as its holder counts it. Number zero stands for none.
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

/// A request that waits for tokens.
struct WaitingReservation {
    ReservationRequest request;
    ReservationCallback callback;
    TimerId timer = 0;
};

/// What a holder keeps of one budget. Small, since a process may hold hundreds of thousands of them; what only a busy
/// budget needs lies apart.
class HeldBudget
{
public:
    HeldBudget(std::uint32_t shard, Instant now);

    std::uint32_t shard() const;

    /// The portion that new reservations are taken from.
    HeldPortion &current();
    const HeldPortion &current() const;

    /// Makes `portion` the current one; the one before goes on among the draining ones if it has open reservations.
    /// Gives the one before.
    HeldPortion replaceCurrent(const HeldPortion &portion);

    /// Portions that take no new reservations.
    const std::vector<HeldPortion> &draining() const;
    void addDraining(const HeldPortion &portion);

    /// The portion of this number, or nothing when it was returned or lost.
    HeldPortion *find(std::uint32_t number);
    void remove(std::uint32_t number);

    std::deque<WaitingReservation> &waiting();
    bool hasWaiting() const;

    /// Frees what only a busy budget needs, if there is nothing in it. References from `waiting` end here.
    void releaseUnused();

    std::size_t waitingCount() const;

    /// Notes a reservation of `tokens`.
    void noteReserved(std::int64_t tokens, Instant now);
    /// Notes that `tokens` were spent.
    void noteSpent(std::int64_t tokens, Instant now, const BudgetHolderSettings &settings);

    /// Averaged use in tokens a second.
    double tokensPerSecond(Instant now, const BudgetHolderSettings &settings) const;

    /// What the current portion should have available.
    std::int64_t targetSize(Instant now, const BudgetHolderSettings &settings) const;

    /// What it should keep while others are short.
    std::int64_t sizeInShortage(Instant now, const BudgetHolderSettings &settings) const;

    /// Tokens that could be had here without the ledger: available now, or freed by open reservations at best.
    std::int64_t maximumAvailable() const;

    /// The least amount from the ledger that is worth a write: what the first that waits lacks at best, or room for a
    /// request of the size last seen.
    std::int64_t smallestUseful() const;

    /// Whether a reservation leaves the headroom that is kept for urgent and for small ones. While the ledger is away,
    /// that is a share of what was held when it went.
    bool leavesHeadroom(const ReservationRequest &request, bool isLedgerUnavailable,
                        const BudgetHolderSettings &settings) const;

    /// What all that wait and leave the headroom need beyond what is available.
    std::int64_t shortage(bool isLedgerUnavailable, const BudgetHolderSettings &settings) const;

    Instant lastUsedAt() const;

    /// A take or a partial return is on its way; there is one at a time.
    bool isTakePending = false;
    /// Changes on their way to the ledger besides that one; their answers still name this budget.
    std::uint32_t pendingChanges = 0;
    /// Reservations that are granted and neither settled nor released, those on lost portions among them.
    std::uint32_t openReservations = 0;
    /// The latest request came since the usual holder could not be asked.
    bool isStandIn = false;
    /// The ledger was asked, and had no such budget.
    bool isUnknown = false;
    /// What was free in the ledger when it was last asked, and when that was.
    std::int64_t lastFree = 0;
    /// What was paid in all, as of then.
    std::int64_t lastPaid = 0;
    Instant lastFreeAt = Instant::min();
    Instant lastTakeAt = Instant::min();
    /// What was available when the ledger went away; nothing while it is not known to be away.
    std::optional<std::int64_t> availableAtOutage;

private:
    /// The part of the headroom that a reservation has to leave: all, none, or that for small ones.
    double requiredHeadroomPart(const ReservationRequest &request, const BudgetHolderSettings &settings) const;

    struct Extras {
        std::vector<HeldPortion> draining;
        std::deque<WaitingReservation> waiting;
    };

    /// Most that the portion wishes for, beyond what waiting requests need.
    std::int64_t maximumHeld(const BudgetHolderSettings &settings) const;
    Extras &extras();

    std::uint32_t m_shard;
    HeldPortion m_current;
    TokenUse m_use;
    Instant m_lastUsedAt;
    std::int64_t m_lastTokens = 0;
    /// Averaged size of requests.
    double m_typicalTokens = 0;
    std::unique_ptr<Extras> m_extras;
};

}
