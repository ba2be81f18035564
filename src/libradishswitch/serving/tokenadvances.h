#pragma once

#include "reservation.h"
#include "tokenuse.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

struct TokenAdvancesSettings {
    /// How long an advance should last at the present use when its gateway is cut off from the homes.
    Duration survivalTime = std::chrono::seconds(9);
    TokenUseSettings use{std::chrono::seconds(4), std::chrono::milliseconds(1500)};
    /// More is asked for below this share of the wished amount.
    double lowWaterShare = 0.8;
    /// Above so many times the wished amount the excess goes back.
    double surplusFactor = 1.5;
    /// Calls of typical size for which there is room at least.
    int callsAhead = 2;
    /// At least so long between two questions about a budget, and after a home had too little.
    Duration askInterval = std::chrono::milliseconds(500);
    Duration refusedPause = std::chrono::seconds(1);
    /// Use of less than this share of the wished amount is not worth a message of its own.
    double leastChargedShare = 0.1;
    /// A budget that had no call for so long gets no advance, and what there is goes back.
    Duration idleTime = std::chrono::seconds(4);
};

/// What was used of an advance, to be told to the home that gave it.
struct AdvanceCharge {
    RequestId advance;
    std::string home;
    std::int64_t usedTokens = 0;
    /// The advance ends here, and the rest of it goes back; else more of it may be used later.
    bool isLast = false;

    bool operator==(const AdvanceCharge &) const = default;
};

/// Tokens of budgets that their homes have set aside for calls that this gateway is still to get.
///
/// When all gateways are cut off from one another and from the store, each can go on only with what it holds itself;
/// with all tokens at the homes, half of the calls were refused in such an outage. An advance is a reservation at the
/// home like that of a call: it lies in one portion, is this gateway's alone, and is settled once with what was used of
/// it, or counts as used whole. So no clock and no word of the home is needed to spend it.
///
/// All advances on a budget are one sum for the calls, as they come in pieces smaller than a call. What the calls used
/// is set against the oldest advance first.
class TokenAdvances
{
public:
    explicit TokenAdvances(TokenAdvancesSettings settings = {});

    /// Reserves for a call out of the advances; false when they have no room for it.
    bool grant(const ReservationRequest &request, Instant now);

    /// Ends a call's reservation; false when it was not made here.
    bool settle(const RequestId &call, std::int64_t usedTokens, Instant now);

    /// Notes what a call used whose reservation was made elsewhere.
    void noteUse(const BudgetId &budget, std::int64_t usedTokens, Instant now);

    /// How much to ask the home of a budget for; nothing when there is enough or it was asked just now.
    std::optional<std::int64_t> missing(const BudgetId &budget, Instant now) const;

    /// Notes that the home was asked, that it gave an advance, or that it gave none.
    void noteAsked(const BudgetId &budget, Instant now);
    void add(const BudgetId &budget, const RequestId &advance, const std::string &home, std::int64_t tokens,
             Instant now);
    void noteRefused(const BudgetId &budget, Instant now);

    /// What is to be told to the homes now: advances that are used up or no longer wanted, and what was used of the
    /// others, since a home gives no more than a share of what it knows to be left.
    std::vector<AdvanceCharge> takeCharges(Instant now);

    /// How long advances are to last from now on.
    void setSurvivalTime(Duration survivalTime);

    /// Ends all advances, for a gateway that stops: what open calls may still use counts as used.
    std::vector<AdvanceCharge> takeAll();

    /// Tokens that calls may still be granted.
    std::int64_t available(const BudgetId &budget) const;

private:
    struct Advance {
        RequestId id;
        std::string home;
        std::int64_t tokens = 0;
    };

    struct Account {
        explicit Account(Instant now);

        std::int64_t available() const
        {
            return granted - spent - reserved;
        }

        std::deque<Advance> advances;
        /// Over all advances.
        std::int64_t granted = 0;
        /// Not yet set against an advance that has ended.
        std::int64_t spent = 0;
        std::int64_t reserved = 0;
        TokenUse use;
        double typicalTokens = 0;
        Instant lastUsedAt;
        Instant askAgainAt = Instant::min();
    };

    struct Open {
        BudgetId budget;
        std::int64_t tokens = 0;
    };

    Account &accountOf(const BudgetId &budget, Instant now);
    std::int64_t wished(const Account &account, Instant now) const;
    bool isIdle(const Account &account, Instant now) const;
    void chargeSpent(Account &account, Instant now, std::vector<AdvanceCharge> &charges) const;
    void endSurplus(Account &account, Instant now, std::vector<AdvanceCharge> &charges) const;

    TokenAdvancesSettings m_settings;
    absl::flat_hash_map<BudgetId, Account> m_accounts;
    absl::flat_hash_map<RequestId, Open> m_open;
};

}
