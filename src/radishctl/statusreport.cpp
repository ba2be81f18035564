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

/// How many there are, of a number or of a list.
nlohmann::json countOrSize(const nlohmann::json &json)
{
    return json.is_array() ? nlohmann::json(json.size()) : json;
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

void StatusReport::print(Output &output) const
{
    if (output.isJson()) {
        output.print({{"table_revision", m_revision},
                      {"instances", toJson(instances())},
                      {"pools", toJson(pools())},
                      {"refusals", toJson(refusals())}},
                     "");
        return;
    }
    output.printHeading(absl::StrCat("table revision ", m_revision, "\n"));
    output.print(instances());
    output.printHeading("");
    output.print(pools());
    output.printHeading("");
    output.print(refusals());
}

Sheet StatusReport::instances() const
{
    Sheet sheet{{"name", "role", "region", "zone", "state", "table_revision", "incarnation", "in_progress", "portions",
                 "portion_tokens", "withheld_tokens"},
                {}};
    for (const InstanceStatus &it : m_statuses) {
        const nlohmann::json state = it.status.ok() ? it.status->value("state", nlohmann::json(it.instance.state))
                                                    : nlohmann::json("unreachable, listed as " + it.instance.state);
        sheet.rows.push_back({it.instance.name, it.instance.role, it.instance.region, it.instance.zone, state,
                              told(it, "table_revision"), told(it, "incarnation"), told(it, "in_progress"),
                              countOrSize(told(it, "portions")), told(it, "portion_tokens"),
                              told(it, "withheld_tokens")});
    }
    return sheet;
}

Sheet StatusReport::pools() const
{
    const std::map<std::string, std::int64_t> queued = sums(m_statuses, "queues");
    Sheet sheet{{"pool", "serves", "endpoints", "leaving", "queued"}, {}};
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
                              waiting == queued.end() ? 0 : waiting->second});
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
