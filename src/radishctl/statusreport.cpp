#include "statusreport.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>

namespace RadishSwitch
{

namespace
{

/// A member of a process's status, or null when it does not tell it.
nlohmann::json told(const InstanceStatus &it, const char *member)
{
    return it.status.ok() ? it.status->value(member, nlohmann::json()) : nlohmann::json();
}

std::int64_t count(const nlohmann::json &json)
{
    return json.is_number() ? json.get<std::int64_t>() : 0;
}

/// Adds up {"name": number} members over all processes.
std::map<std::string, std::int64_t> sums(const std::vector<InstanceStatus> &statuses, const char *member)
{
    std::map<std::string, std::int64_t> sums;
    for (const InstanceStatus &it : statuses) {
        const nlohmann::json json = told(it, member);
        if (!json.is_object()) {
            continue;
        }
        for (const auto &[name, value] : json.items()) {
            sums[name] += count(value);
        }
    }
    return sums;
}

}

StatusReport::StatusReport(const TableDocument &table, std::vector<InstanceStatus> statuses)
    : m_revision(table.revision)
    , m_pools(table.rows.pools)
    , m_statuses(std::move(statuses))
{
}

void StatusReport::setBudgets(const std::vector<BudgetSummary> &budgets)
{
    BudgetSummary sum;
    for (const BudgetSummary &it : budgets) {
        sum.paid += it.paid;
        sum.settled += it.settled;
        sum.granted += it.granted;
        sum.withheld += it.withheld;
        sum.free += it.free;
        sum.portions += it.portions;
    }
    m_budgets = sum;
    m_budgetCount = budgets.size();
}

void StatusReport::print(Output &output) const
{
    if (output.isJson()) {
        nlohmann::json json{{"table_revision", m_revision},
                            {"instances", toJson(instances())},
                            {"pools", toJson(pools())},
                            {"refusals", toJson(refusals())}};
        if (m_budgets) {
            json["budgets"] = toJson(budgets()).at(0);
        }
        output.print(json, "");
        return;
    }
    output.printHeading(absl::StrCat("table revision ", m_revision, "\n"));
    output.print(instances());
    output.printHeading("");
    output.print(pools());
    output.printHeading("");
    output.print(refusals());
    if (m_budgets) {
        output.printHeading("");
        output.print(budgets());
    }
}

Sheet StatusReport::budgets() const
{
    return {{"budgets", "paid", "settled", "portions", "in_portions", "withheld", "free"},
            {{m_budgetCount, m_budgets->paid, m_budgets->settled, m_budgets->portions, m_budgets->granted,
              m_budgets->withheld, m_budgets->free}}};
}

Sheet StatusReport::instances() const
{
    Sheet sheet{{"name", "role", "region", "zone", "pool", "state", "table_revision", "incarnation", "in_progress",
                 "open_reservations", "answered"},
                {}};
    for (const InstanceStatus &it : m_statuses) {
        const nlohmann::json state = it.status.ok() ? it.status->value("state", nlohmann::json(it.instance.state))
                                                    : nlohmann::json("unreachable, listed as " + it.instance.state);
        sheet.rows.push_back({it.instance.name, it.instance.role, it.instance.region, it.instance.zone,
                              it.instance.pool, state, told(it, "table_revision"), told(it, "incarnation"),
                              told(it, "in_progress"), told(it, "open_reservations"), told(it, "answered")});
    }
    return sheet;
}

/// The fewest endpoints of the pool that any entry would send work to: where entries differ, one of them is blind.
nlohmann::json StatusReport::fewestEligible(const std::string &pool) const
{
    nlohmann::json fewest;
    for (const InstanceStatus &it : m_statuses) {
        const nlohmann::json eligible = told(it, "eligible_endpoints");
        const nlohmann::json n = eligible.is_object() ? eligible.value(pool, nlohmann::json()) : nlohmann::json();
        if (n.is_number() && (fewest.is_null() || n < fewest)) {
            fewest = n;
        }
    }
    return fewest;
}

Sheet StatusReport::pools() const
{
    const std::map<std::string, std::int64_t> queued = sums(m_statuses, "queues");
    Sheet sheet{{"pool", "serves", "endpoints", "leaving", "fewest_eligible", "queued"}, {}};
    for (const PoolRow &pool : m_pools) {
        const auto isEndpoint = [&pool](const InstanceStatus &it) {
            return it.instance.role == "agent" && it.instance.pool == pool.name.value();
        };
        const auto isLeaving = [&](const InstanceStatus &it) {
            return isEndpoint(it) && (it.instance.state == "leaving" || told(it, "state") == "leaving");
        };
        const auto waiting = queued.find(pool.name.value());
        sheet.rows.push_back({pool.name.value(), pool.kind == PoolKind::Chat ? "chat" : "service",
                              std::count_if(m_statuses.begin(), m_statuses.end(), isEndpoint),
                              std::count_if(m_statuses.begin(), m_statuses.end(), isLeaving),
                              fewestEligible(pool.name.value()), waiting == queued.end() ? 0 : waiting->second});
    }
    return sheet;
}

Sheet StatusReport::refusals() const
{
    Sheet sheet{{"refusal", "count"}, {}};
    for (const auto &[cause, n] : sums(m_statuses, "refusals")) {
        sheet.rows.push_back({cause, n});
    }
    return sheet;
}

}
