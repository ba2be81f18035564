#pragma once

#include "base/identifier.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// The id of a payment in the operators' accounting. A payment that is submitted twice counts once.
using PaymentId = Identifier<struct PaymentTag>;

enum class PortionState {
    /// The holder may reserve against it.
    Open,
    /// A closer is settling it by the charges that the agents report; changes by the holder are refused.
    Closing,
    /// Counted as spent, because an agent that may have run requests on it could not be asked.
    Withheld,
};

/// A part of a budget that was granted to one incarnation of one process. All amounts are tokens.
struct PortionRecord {
    IncarnationId holder;
    std::string region;
    /// All tokens granted to the portion, less those that its holder returned. Never less than `spent`.
    std::int64_t granted = 0;
    /// Tokens that are known to be spent. A total, not a difference; it only grows.
    std::int64_t spent = 0;
    /// Number of the holder's last change that modified `granted`. A change with this number or a lower one has already
    /// been applied.
    std::uint64_t sequence = 0;
    PortionState state = PortionState::Open;
    /// Wall-clock time at which the portion was taken. Shown to people, and used by the closer to find agents that
    /// started later.
    std::int64_t takenAtMilliseconds = 0;
    /// The reason for withholding the portion, and the agents that could not be asked.
    std::string reason;
    std::vector<std::string> missingAgents;

    bool operator==(const PortionRecord &) const = default;
};

struct TopUpRecord {
    std::int64_t tokens = 0;
    std::string operatorName;
    std::int64_t atMilliseconds = 0;

    bool operator==(const TopUpRecord &) const = default;
};

/// Left by a holder that found too few free tokens. It makes the other holders return the tokens that they do not need.
struct WantedMark {
    IncarnationId holder;
    std::int64_t tokens = 0;

    bool operator==(const WantedMark &) const = default;
};

/// A holder's request to the ledger for a portion, or for more tokens in its portion.
struct PortionRequest {
    PortionId portion;
    IncarnationId holder;
    std::string region;
    /// One more than the sequence of the holder's previous change of this portion; 1 creates the portion.
    std::uint64_t sequence = 1;
    /// With fewer tokens than this no waiting request can proceed.
    std::int64_t smallestUseful = 1;
    /// With this many tokens every waiting request can proceed.
    std::int64_t needed = 1;
    /// Tokens that would last for the survival time; granted as far as `shareOfFree` allows.
    std::int64_t desired = 1;
    /// Share of the free tokens, from 0 to 1, that may be granted beyond `needed`, so that some are left for other
    /// holders.
    double shareOfFree = 0.25;
    std::int64_t atMilliseconds = 0;

    bool operator==(const PortionRequest &) const = default;
};

/// One prepaid budget: the payments, the settled amount and the portions granted to holders.
///
/// Invariant, checked after every change: settled + granted of all portions <= paid. It depends on no clock and no
/// lease. A holder spends at most what it was granted, whatever messages it misses, so total spending never exceeds
/// what was paid.
class BudgetRecord
{
public:
    BudgetRecord() = default;
    /// A record as read from the store; validate it with `check`.
    BudgetRecord(std::int64_t paid, std::int64_t settled, std::map<PaymentId, TopUpRecord> topUps,
                 std::map<PortionId, PortionRecord> portions, std::optional<WantedMark> wanted);

    std::int64_t paid() const;
    std::int64_t settled() const;
    const std::map<PaymentId, TopUpRecord> &topUps() const;
    const std::map<PortionId, PortionRecord> &portions() const;
    const std::optional<WantedMark> &wanted() const;

    /// Tokens granted to portions in any state.
    std::int64_t granted() const;
    /// Tokens in portions in any state that are not known to be spent.
    std::int64_t unspentInPortions() const;
    /// Tokens in withheld portions that are not known to be spent.
    std::int64_t withheld() const;
    /// Tokens that holders may still take.
    std::int64_t free() const;

    /// Fails with ObjectMalformed when the record breaks the invariant.
    absl::Status check() const;

    /// Books a payment. Fails with KeyReusedForOtherBody when the payment was already booked with another amount, and
    /// with InvalidRequest for an amount out of range.
    absl::Status topUp(const PaymentId &payment, const TopUpRecord &topUp);

    /// Creates or grows a portion, and returns the portion after that. Grants nothing, and marks the budget as wanted,
    /// when less than the smallest useful amount is free. Fails with PortionClosed when the portion is closed or gone.
    absl::StatusOr<PortionRecord> takePortion(const PortionRequest &request);

    /// Raises the spent amount of a portion. Fails with PortionClosed when the portion is closed or gone.
    absl::Status reportSpend(const PortionId &portion, std::int64_t spent);

    /// Lowers a portion to `keep` tokens, which is at least `spent`. Fails with PortionClosed when the portion is
    /// closed or gone.
    absl::Status returnPart(const PortionId &portion, std::uint64_t sequence, std::int64_t spent, std::int64_t keep);

    /// Settles an open portion at `spent`, frees the rest and removes the portion. A portion that is gone counts as
    /// already returned.
    absl::Status returnPortion(const PortionId &portion, std::int64_t spent);

    /// Closes the portion to its holder. A portion that is gone counts as already closed.
    absl::Status beginClose(const PortionId &portion);

    /// Settles a closing or withheld portion at the proved amount and removes it. A portion that is gone counts as
    /// already closed.
    absl::Status finishClose(const PortionId &portion, std::int64_t proved);

    /// Withholds the unproved tokens of a closing portion and records the reason. With `unproved` at most that many
    /// tokens are withheld and the rest becomes free.
    absl::Status withhold(const PortionId &portion, std::int64_t proved, std::optional<std::int64_t> unproved,
                          const std::string &reason, const std::vector<std::string> &missingAgents);

    /// Moves `tokens` from an open portion to a withheld portion with the id `part`, for an operator to release. That
    /// portion has no holder, and no closer can prove what was spent of it.
    absl::Status withholdPart(const PortionId &portion, std::uint64_t sequence, const PortionId &part,
                              std::int64_t tokens, const std::string &reason, std::int64_t atMilliseconds);

    /// Settles a withheld portion at its proved amount, frees the rest and removes it. Fails with ObjectMissing when no
    /// such portion is withheld.
    absl::Status releaseWithheld(const PortionId &portion);

    bool operator==(const BudgetRecord &) const = default;

private:
    absl::StatusOr<PortionRecord *> openPortion(const PortionId &portion);
    std::int64_t grantFor(const PortionRequest &request) const;
    void markWanted(const PortionRequest &request, std::int64_t grant);
    void settlePortion(std::map<PortionId, PortionRecord>::iterator it, std::int64_t spent);
    void clearSatisfiedMark();

    std::int64_t m_paid = 0;
    std::int64_t m_settled = 0;
    std::map<PaymentId, TopUpRecord> m_topUps;
    std::map<PortionId, PortionRecord> m_portions;
    std::optional<WantedMark> m_wanted;
};

}
