#include "budgets/budgetrecord.h"

#include "base/failure.h"

#include <algorithm>

namespace RadishSwitch
{

namespace
{

/// Far above any real payment, and low enough that a thousand payments add up without overflow.
constexpr std::int64_t kMaximumTopUp = 1'000'000'000'000'000;
constexpr std::int64_t kMaximumPaid = 1'000 * kMaximumTopUp;

absl::Status malformed(const std::string &what)
{
    return makeFailure(FailureCode::ObjectMalformed, "budget record: " + what);
}

absl::Status portionClosed(const PortionId &portion)
{
    return makeFailure(FailureCode::PortionClosed, "portion " + portion.value() + " is closed");
}

absl::Status invalid(const std::string &what)
{
    return makeFailure(FailureCode::InvalidRequest, what);
}

}

BudgetRecord::BudgetRecord(std::int64_t paid, std::int64_t settled, std::map<PaymentId, TopUpRecord> topUps,
                           std::map<PortionId, PortionRecord> portions, std::optional<WantedMark> wanted)
    : m_paid(paid)
    , m_settled(settled)
    , m_topUps(std::move(topUps))
    , m_portions(std::move(portions))
    , m_wanted(std::move(wanted))
{
}

std::int64_t BudgetRecord::paid() const
{
    return m_paid;
}

std::int64_t BudgetRecord::settled() const
{
    return m_settled;
}

const std::map<PaymentId, TopUpRecord> &BudgetRecord::topUps() const
{
    return m_topUps;
}

const std::map<PortionId, PortionRecord> &BudgetRecord::portions() const
{
    return m_portions;
}

const std::optional<WantedMark> &BudgetRecord::wanted() const
{
    return m_wanted;
}

std::int64_t BudgetRecord::granted() const
{
    std::int64_t sum = 0;
    for (const auto &[id, portion] : m_portions) {
        sum += portion.granted;
    }
    return sum;
}

std::int64_t BudgetRecord::unspentInPortions() const
{
    std::int64_t tokens = 0;
    for (const auto &[id, portion] : m_portions) {
        tokens += portion.granted - portion.spent;
    }
    return tokens;
}

std::int64_t BudgetRecord::withheld() const
{
    std::int64_t sum = 0;
    for (const auto &[id, portion] : m_portions) {
        if (portion.state == PortionState::Withheld) {
            sum += portion.granted - portion.spent;
        }
    }
    return sum;
}

std::int64_t BudgetRecord::free() const
{
    return m_paid - m_settled - granted();
}

absl::Status BudgetRecord::check() const
{
    std::int64_t toppedUp = 0;
    for (const auto &[id, topUp] : m_topUps) {
        if (topUp.tokens <= 0 || topUp.tokens > kMaximumTopUp || toppedUp > kMaximumPaid) {
            return malformed("the amount of a payment is out of range");
        }
        toppedUp += topUp.tokens;
    }
    if (toppedUp != m_paid || m_paid > kMaximumPaid) {
        return malformed("the paid amount is not the sum of the payments");
    }
    if (m_settled < 0 || m_settled > m_paid) {
        return malformed("the settled amount is negative or exceeds the paid amount");
    }
    std::int64_t left = m_paid - m_settled;
    for (const auto &[id, portion] : m_portions) {
        if (portion.spent < 0 || portion.granted < portion.spent) {
            return malformed("the granted or spent amount of a portion is out of range");
        }
        if (portion.granted > left) {
            return malformed("the settled and granted amounts exceed the paid amount");
        }
        left -= portion.granted;
    }
    return absl::OkStatus();
}

absl::Status BudgetRecord::topUp(const PaymentId &payment, const TopUpRecord &topUp)
{
    if (payment.isEmpty() || topUp.tokens <= 0 || topUp.tokens > kMaximumTopUp) {
        return invalid("a payment needs an id and between 1 and 10^15 tokens");
    }
    const auto it = m_topUps.find(payment);
    if (it != m_topUps.end()) {
        if (it->second.tokens == topUp.tokens) {
            return absl::OkStatus();
        }
        return makeFailure(FailureCode::KeyReusedForOtherBody,
                           "payment " + payment.value() + " is booked with " + std::to_string(it->second.tokens)
                               + " tokens");
    }
    if (m_paid > kMaximumPaid - topUp.tokens) {
        return invalid("the payments of the budget would exceed 10^18 tokens");
    }
    m_topUps.emplace(payment, topUp);
    m_paid += topUp.tokens;
    clearSatisfiedMark();
    return absl::OkStatus();
}

absl::StatusOr<PortionRecord> BudgetRecord::takePortion(const PortionRequest &request)
{
    auto it = m_portions.find(request.portion);
    if (it != m_portions.end() && it->second.state != PortionState::Open) {
        return portionClosed(request.portion);
    }
    if (it == m_portions.end() && request.sequence > 1) {
        return portionClosed(request.portion);
    }
    if (it != m_portions.end() && it->second.sequence >= request.sequence) {
        return it->second;
    }
    const std::int64_t grant = grantFor(request);
    markWanted(request, grant);
    if (grant == 0) {
        return it == m_portions.end() ? PortionRecord{} : it->second;
    }
    PortionRecord &portion = m_portions[request.portion];
    portion.holder = request.holder;
    portion.region = request.region;
    portion.takenAtMilliseconds = portion.sequence == 0 ? request.atMilliseconds : portion.takenAtMilliseconds;
    portion.sequence = request.sequence;
    portion.granted += grant;
    return portion;
}

std::int64_t BudgetRecord::grantFor(const PortionRequest &request) const
{
    const std::int64_t available = free();
    if (available <= 0 || available < request.smallestUseful) {
        return 0;
    }
    if (available < request.needed) {
        return available;
    }
    const auto share = static_cast<std::int64_t>(static_cast<double>(available) * request.shareOfFree);
    const std::int64_t grant = std::max(request.needed, std::min(request.desired, share));
    // A share that is too small for any request is not granted; it is left for another holder that can use it.
    return grant < request.smallestUseful ? 0 : std::min(grant, available);
}

absl::Status BudgetRecord::reportSpend(const PortionId &portion, std::int64_t spent)
{
    const absl::StatusOr<PortionRecord *> record = openPortion(portion);
    if (!record.ok()) {
        return record.status();
    }
    if (spent > (*record)->granted) {
        return invalid("the reported spending exceeds the tokens granted to the portion");
    }
    (*record)->spent = std::max((*record)->spent, spent);
    return absl::OkStatus();
}

absl::Status BudgetRecord::returnPart(const PortionId &portion, std::uint64_t sequence, std::int64_t spent,
                                      std::int64_t keep)
{
    const absl::StatusOr<PortionRecord *> record = openPortion(portion);
    if (!record.ok()) {
        return record.status();
    }
    if ((*record)->sequence >= sequence) {
        return absl::OkStatus();
    }
    if (spent > keep || keep > (*record)->granted || keep < (*record)->spent) {
        return invalid("a portion must keep at least its spent tokens and at most its granted tokens");
    }
    (*record)->sequence = sequence;
    (*record)->spent = std::max((*record)->spent, spent);
    (*record)->granted = keep;
    clearSatisfiedMark();
    return absl::OkStatus();
}

absl::Status BudgetRecord::returnPortion(const PortionId &portion, std::int64_t spent)
{
    const auto it = m_portions.find(portion);
    if (it == m_portions.end()) {
        return absl::OkStatus();
    }
    if (it->second.state != PortionState::Open) {
        return portionClosed(portion);
    }
    if (spent > it->second.granted) {
        return invalid("the spent tokens of the returned portion exceed its granted tokens");
    }
    settlePortion(it, spent);
    return absl::OkStatus();
}

absl::Status BudgetRecord::beginClose(const PortionId &portion)
{
    const auto it = m_portions.find(portion);
    if (it != m_portions.end() && it->second.state == PortionState::Open) {
        it->second.state = PortionState::Closing;
    }
    return absl::OkStatus();
}

absl::Status BudgetRecord::finishClose(const PortionId &portion, std::int64_t proved)
{
    const auto it = m_portions.find(portion);
    if (it == m_portions.end()) {
        return absl::OkStatus();
    }
    if (it->second.state == PortionState::Open) {
        return invalid("the portion is still open; closing must begin before it can finish");
    }
    settlePortion(it, std::min(proved, it->second.granted));
    return absl::OkStatus();
}

absl::Status BudgetRecord::withhold(const PortionId &portion, std::int64_t proved, std::optional<std::int64_t> unproved,
                                    const std::string &reason, const std::vector<std::string> &missingAgents)
{
    const auto it = m_portions.find(portion);
    if (it == m_portions.end()) {
        return absl::OkStatus();
    }
    if (it->second.state == PortionState::Open) {
        return invalid("the portion is still open; closing must begin before it can be withheld");
    }
    it->second.state = PortionState::Withheld;
    it->second.spent = std::max(it->second.spent, std::min(proved, it->second.granted));
    if (unproved) {
        it->second.granted = std::min(it->second.granted, it->second.spent + *unproved);
        clearSatisfiedMark();
    }
    it->second.reason = reason;
    it->second.missingAgents = missingAgents;
    return absl::OkStatus();
}

absl::Status BudgetRecord::withholdPart(const PortionId &portion, std::uint64_t sequence, const PortionId &part,
                                        std::int64_t tokens, const std::string &reason, std::int64_t atMilliseconds)
{
    const absl::StatusOr<PortionRecord *> record = openPortion(portion);
    if (!record.ok()) {
        return record.status();
    }
    if ((*record)->sequence >= sequence) {
        return absl::OkStatus();
    }
    if (tokens < 1 || tokens > (*record)->granted - (*record)->spent) {
        return invalid("the part must have at least 1 token and at most the unspent tokens of the portion");
    }
    (*record)->sequence = sequence;
    (*record)->granted -= tokens;
    PortionRecord withheld;
    withheld.region = (*record)->region;
    withheld.granted = tokens;
    withheld.state = PortionState::Withheld;
    withheld.takenAtMilliseconds = atMilliseconds;
    withheld.reason = reason;
    m_portions.emplace(part, std::move(withheld));
    return absl::OkStatus();
}

absl::Status BudgetRecord::releaseWithheld(const PortionId &portion)
{
    const auto it = m_portions.find(portion);
    if (it == m_portions.end() || it->second.state != PortionState::Withheld) {
        return makeFailure(FailureCode::ObjectMissing, "no withheld portion " + portion.value());
    }
    settlePortion(it, it->second.spent);
    return absl::OkStatus();
}

void BudgetRecord::markWanted(const PortionRequest &request, std::int64_t grant)
{
    const bool isOwnMark = m_wanted && m_wanted->holder == request.holder;
    if (grant >= request.needed) {
        if (isOwnMark) {
            m_wanted.reset();
        }
        return;
    }
    // A smaller shortage does not replace the mark of a larger one. Otherwise holders that ask in turn, or one that
    // asks for each of its requests, would cause a write each time. The mere presence of the mark makes the other
    // holders return tokens.
    if (!m_wanted || m_wanted->tokens < request.needed) {
        m_wanted = WantedMark{request.holder, request.needed};
    }
}

absl::StatusOr<PortionRecord *> BudgetRecord::openPortion(const PortionId &portion)
{
    const auto it = m_portions.find(portion);
    if (it == m_portions.end() || it->second.state != PortionState::Open) {
        return portionClosed(portion);
    }
    return &it->second;
}

void BudgetRecord::settlePortion(std::map<PortionId, PortionRecord>::iterator it, std::int64_t spent)
{
    m_settled += std::max(it->second.spent, spent);
    m_portions.erase(it);
    clearSatisfiedMark();
}

void BudgetRecord::clearSatisfiedMark()
{
    if (m_wanted && free() >= m_wanted->tokens) {
        m_wanted.reset();
    }
}

}
