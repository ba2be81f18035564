#include "budgets/ledgershard.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace RadishSwitch
{

namespace
{

constexpr std::size_t kMaximumNameLength = 200;

/// Whether a text is valid UTF-8: the JSON library refuses to serialize any other text.
bool isUtf8(const std::string &text)
{
    try {
        nlohmann::json(text).dump();
        return true;
    } catch (const nlohmann::json::exception &) {
        return false;
    }
}

}

bool isStorableName(const std::string &name)
{
    if (name.empty() || name.size() > kMaximumNameLength) {
        return false;
    }
    const bool hasControls = std::any_of(name.begin(), name.end(), [](unsigned char c) {
        return c < 0x20 || c == 0x7f;
    });
    return !hasControls && isUtf8(name);
}

const std::map<BudgetId, BudgetRecord> &LedgerShard::budgets() const
{
    return m_budgets;
}

const BudgetRecord *LedgerShard::find(const BudgetId &budget) const
{
    const auto it = m_budgets.find(budget);
    return it == m_budgets.end() ? nullptr : &it->second;
}

const std::deque<LedgerAuditEntry> &LedgerShard::audit() const
{
    return m_audit;
}

std::uint64_t LedgerShard::foldedAuditEntries() const
{
    return m_foldedAuditEntries;
}

absl::StatusOr<bool> LedgerShard::create(const BudgetId &budget)
{
    const std::string &organisation = budget.organisation.value();
    if (!isStorableName(organisation) || !isStorableName(budget.name) || organisation.find('/') != std::string::npos) {
        return makeFailure(FailureCode::InvalidRequest, "invalid name of a budget or organisation");
    }
    const bool isNew = m_budgets.emplace(budget, BudgetRecord()).second;
    m_isModified = m_isModified || isNew;
    return isNew;
}

absl::Status LedgerShard::change(const BudgetId &budget, const std::function<absl::Status(BudgetRecord &)> &change)
{
    const auto it = m_budgets.find(budget);
    if (it == m_budgets.end()) {
        return makeFailure(FailureCode::BudgetUnknown, "no budget " + budget.toString());
    }
    BudgetRecord changed = it->second;
    if (const absl::Status status = change(changed); !status.ok()) {
        return status;
    }
    if (const absl::Status status = changed.check(); !status.ok()) {
        return status;
    }
    if (changed != it->second) {
        it->second = std::move(changed);
        m_isModified = true;
    }
    return absl::OkStatus();
}

void LedgerShard::clearModified()
{
    m_isModified = false;
}

bool LedgerShard::isModified() const
{
    return m_isModified;
}

void LedgerShard::addFence()
{
    ++m_fences;
    m_isModified = true;
}

std::uint64_t LedgerShard::fences() const
{
    return m_fences;
}

void LedgerShard::addAudit(LedgerAuditEntry entry)
{
    m_isModified = true;
    m_audit.push_back(std::move(entry));
    while (m_audit.size() > kMaximumAuditEntries) {
        m_audit.pop_front();
        ++m_foldedAuditEntries;
    }
}

}
