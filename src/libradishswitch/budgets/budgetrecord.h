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

/// A payment, as the operators' books name it. The same payment told twice counts once.
using PaymentId = Identifier<struct PaymentTag>;

enum class PortionState {
    /// The holder may reserve against it.
    Open,
    /// Being closed by what the agents prove; the holder's changes are refused.
    Closing,
    /// Counted as if it were spent, since an agent that may hold a run could not be asked.
    Withheld,
};

/// A part of a budget handed to one incarnation of one process. All amounts are tokens.
struct PortionRecord {
    IncarnationId holder;
    std::string region;
    /// Everything ever given to the portion, less what its holder gave back. Never less than `spent`.
    std::int64_t granted = 0;
    /// What is proved to be spent; absolute, only grows.
    std::int64_t spent = 0;
    /// Number of the holder's last change that moved `granted`; a change with this number or a lower one is applied
    /// already.
    std::uint64_t sequence = 0;
    PortionState state = PortionState::Open;
    /// Wall clock at which it was taken, for people.
    std::int64_t takenAtMilliseconds = 0;
    /// Why it is withheld, and the agents that could not be asked.
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

/// A holder that found too little in the ledger asks the others to give back what they do not need.
struct WantedMark {
    IncarnationId holder;
    std::int64_t tokens = 0;

    bool operator==(const WantedMark &) const = default;
};

/// What a holder asks of the ledger.
struct PortionRequest {
    PortionId portion;
    IncarnationId holder;
    std::string region;
    /// One more than that of the holder's change before it; 1 creates the portion.
    std::uint64_t sequence = 1;
    /// Less than this does not help any waiting request.
    std::int64_t smallestUseful = 1;
    /// With this much every waiting request can go on.
    std::int64_t needed = 1;
    /// What would last for the survival time; granted as far as `shareOfFree` allows.
    std::int64_t desired = 1;
    /// Share of what is free, 0 to 1, that may be granted beyond `needed`, so that other holders find some.
    double shareOfFree = 0.25;
    std::int64_t atMilliseconds = 0;

    bool operator==(const PortionRequest &) const = default;
};

/// One prepaid budget: what was paid in, what is settled, and the portions handed out.
///
/// Rule, checked after every change: settled + the granted of all portions <= paid. It needs no clock and no lease: a
/// holder spends at most what it was granted, whatever it does not hear of, so spending never exceeds what was paid.
class BudgetRecord
{
public:
    BudgetRecord() = default;
    /// A record as it was read. Checked by `check`.
    BudgetRecord(std::int64_t paid, std::int64_t settled, std::map<PaymentId, TopUpRecord> topUps,
                 std::map<PortionId, PortionRecord> portions, std::optional<WantedMark> wanted);

    std::int64_t paid() const;
    std::int64_t settled() const;
    const std::map<PaymentId, TopUpRecord> &topUps() const;
    const std::map<PortionId, PortionRecord> &portions() const;
    const std::optional<WantedMark> &wanted() const;

    /// Tokens in portions, in whatever state.
    std::int64_t granted() const;
    /// Tokens in portions, in whatever state, that are not proved to be spent.
    std::int64_t unspentInPortions() const;
    /// Tokens in withheld portions that are not proved to be spent.
    std::int64_t withheld() const;
    /// Tokens that a holder may take.
    std::int64_t free() const;

    /// ObjectMalformed when the record breaks a rule.
    absl::Status check() const;

    /// Books a payment. KeyReusedForOtherBody when the payment is booked with another amount, InvalidRequest for an
    /// amount out of range.
    absl::Status topUp(const PaymentId &payment, const TopUpRecord &topUp);

    /// Creates or grows a portion; gives what it holds after that. Grants nothing, and marks the budget as wanted,
    /// when less than the smallest useful amount is free. PortionClosed when the portion is closed or gone.
    absl::StatusOr<PortionRecord> takePortion(const PortionRequest &request);

    /// Raises what a portion has spent. PortionClosed when it is closed or gone.
    absl::Status reportSpend(const PortionId &portion, std::int64_t spent);

    /// Lowers a portion to `keep` tokens; `keep` is at least `spent`. PortionClosed when it is closed or gone.
    absl::Status returnPart(const PortionId &portion, std::uint64_t sequence, std::int64_t spent, std::int64_t keep);

    /// Settles an open portion at `spent` and frees the rest. A portion that is gone is returned already.
    absl::Status returnPortion(const PortionId &portion, std::int64_t spent);

    /// Takes the portion away from its holder. A portion that is gone is closed already.
    absl::Status beginClose(const PortionId &portion);

    /// Settles a closing or withheld portion at what is proved. A portion that is gone is closed already.
    absl::Status finishClose(const PortionId &portion, std::int64_t proved);

    /// Withholds what is not proved of a closing portion, with the reason: all of it, or no more than `unproved` when
    /// that bound is known; the rest is free then.
    absl::Status withhold(const PortionId &portion, std::int64_t proved, std::optional<std::int64_t> unproved,
                          const std::string &reason, const std::vector<std::string> &missingAgents);

    /// Parts `tokens` from an open portion and withholds them under a name of their own, for an operator to release.
    /// They have no holder, and no closer can prove anything about them.
    absl::Status withholdPart(const PortionId &portion, std::uint64_t sequence, const PortionId &part,
                              std::int64_t tokens, const std::string &reason, std::int64_t atMilliseconds);

    /// Settles a withheld portion at what is proved. ObjectMissing when there is none such.
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
