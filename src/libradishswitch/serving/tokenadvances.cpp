#include "serving/tokenadvances.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// Weight of a new call in the average size.
constexpr double kSizeStep = 0.1;

double secondsOf(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

}

TokenAdvances::Account::Account(Instant now)
    : use(now)
    , lastUsedAt(now)
{
}

TokenAdvances::TokenAdvances(TokenAdvancesSettings settings)
    : m_settings(settings)
{
}

TokenAdvances::Account &TokenAdvances::accountOf(const BudgetId &budget, Instant now)
{
    return m_accounts.try_emplace(budget, now).first->second;
}

bool TokenAdvances::grant(const ReservationRequest &request, Instant now)
{
    Account &account = accountOf(request.budget, now);
    const auto size = static_cast<double>(request.tokens);
    account.typicalTokens += account.typicalTokens == 0 ? size : kSizeStep * (size - account.typicalTokens);
    account.lastUsedAt = now;
    if (account.available() < request.tokens) {
        return false;
    }
    account.reserved += request.tokens;
    m_open[request.request] = Open{request.budget, request.tokens};
    return true;
}

bool TokenAdvances::settle(const RequestId &call, std::int64_t usedTokens, Instant now)
{
    const auto it = m_open.find(call);
    if (it == m_open.end()) {
        return false;
    }
    const Open open = it->second;
    m_open.erase(it);
    Account &account = m_accounts.at(open.budget);
    const std::int64_t used = std::clamp<std::int64_t>(usedTokens, 0, open.tokens);
    account.reserved -= open.tokens;
    account.spent += used;
    account.use.note(used, now, m_settings.use);
    return true;
}

void TokenAdvances::noteUse(const BudgetId &budget, std::int64_t usedTokens, Instant now)
{
    accountOf(budget, now).use.note(usedTokens, now, m_settings.use);
}

bool TokenAdvances::isIdle(const Account &account, Instant now) const
{
    return now - account.lastUsedAt >= m_settings.idleTime;
}

std::int64_t TokenAdvances::wished(const Account &account, Instant now) const
{
    if (isIdle(account, now)) {
        return 0;
    }
    const double byUse = account.use.tokensPerSecond(now, m_settings.use) * secondsOf(m_settings.survivalTime);
    return static_cast<std::int64_t>(std::max(byUse, account.typicalTokens * m_settings.callsAhead));
}

std::optional<std::int64_t> TokenAdvances::missing(const BudgetId &budget, Instant now) const
{
    const auto it = m_accounts.find(budget);
    if (it == m_accounts.end() || now < it->second.askAgainAt) {
        return std::nullopt;
    }
    const std::int64_t size = wished(it->second, now);
    const std::int64_t available = it->second.available();
    if (size == 0 || static_cast<double>(available) >= static_cast<double>(size) * m_settings.lowWaterShare) {
        return std::nullopt;
    }
    return size - available;
}

void TokenAdvances::noteAsked(const BudgetId &budget, Instant now)
{
    accountOf(budget, now).askAgainAt = now + m_settings.askInterval;
}

void TokenAdvances::noteRefused(const BudgetId &budget, Instant now)
{
    accountOf(budget, now).askAgainAt = now + m_settings.refusedPause;
}

void TokenAdvances::add(const BudgetId &budget, const RequestId &advance, const std::string &home, std::int64_t tokens,
                        Instant now)
{
    Account &account = accountOf(budget, now);
    account.advances.push_back({advance, home, tokens});
    account.granted += tokens;
}

std::vector<AdvanceCharge> TokenAdvances::takeCharges(Instant now)
{
    std::vector<AdvanceCharge> charges;
    for (auto &[budget, account] : m_accounts) {
        chargeSpent(account, now, charges);
        endSurplus(account, now, charges);
    }
    absl::erase_if(m_accounts, [this, now](const auto &entry) {
        return entry.second.advances.empty() && entry.second.reserved == 0 && isIdle(entry.second, now);
    });
    return charges;
}

void TokenAdvances::chargeSpent(Account &account, Instant now, std::vector<AdvanceCharge> &charges) const
{
    while (!account.advances.empty() && account.spent >= account.advances.front().tokens) {
        const Advance advance = account.advances.front();
        account.advances.pop_front();
        account.spent -= advance.tokens;
        account.granted -= advance.tokens;
        charges.push_back({advance.id, advance.home, advance.tokens, true});
    }
    const double least = static_cast<double>(wished(account, now)) * m_settings.leastChargedShare;
    if (account.advances.empty() || account.spent == 0 || static_cast<double>(account.spent) < least) {
        return;
    }
    Advance &oldest = account.advances.front();
    charges.push_back({oldest.id, oldest.home, account.spent, false});
    oldest.tokens -= account.spent;
    account.granted -= account.spent;
    account.spent = 0;
}

// The newest go back: the oldest have been used in part.
void TokenAdvances::endSurplus(Account &account, Instant now, std::vector<AdvanceCharge> &charges) const
{
    const std::int64_t kept = wished(account, now);
    if (static_cast<double>(account.available()) <= static_cast<double>(kept) * m_settings.surplusFactor) {
        return;
    }
    while (account.advances.size() > 1 && account.available() - account.advances.back().tokens >= kept) {
        const Advance advance = account.advances.back();
        account.advances.pop_back();
        account.granted -= advance.tokens;
        charges.push_back({advance.id, advance.home, 0, true});
    }
    if (kept == 0 && account.reserved == 0 && account.advances.size() == 1) {
        const Advance advance = account.advances.front();
        charges.push_back({advance.id, advance.home, account.spent, true});
        account.advances.clear();
        account.granted = 0;
        account.spent = 0;
    }
}

void TokenAdvances::setSurvivalTime(Duration survivalTime)
{
    m_settings.survivalTime = survivalTime;
}

std::vector<AdvanceCharge> TokenAdvances::takeAll()
{
    std::vector<AdvanceCharge> charges;
    for (auto &[budget, account] : m_accounts) {
        std::int64_t used = account.spent + account.reserved;
        for (const Advance &it : account.advances) {
            const std::int64_t part = std::min(used, it.tokens);
            used -= part;
            charges.push_back({it.id, it.home, part, true});
        }
    }
    m_accounts.clear();
    m_open.clear();
    return charges;
}

std::int64_t TokenAdvances::available(const BudgetId &budget) const
{
    const auto it = m_accounts.find(budget);
    return it == m_accounts.end() ? 0 : it->second.available();
}

}
