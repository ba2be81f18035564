#include "instancelist.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace RadishSwitch
{

namespace
{

using nlohmann::json;

constexpr const char *kMembers[] = {"name", "role", "address", "zone", "region", "pool", "state"};

absl::Status check(const json &instance)
{
    for (const char *member : kMembers) {
        const auto it = instance.find(member);
        if (it == instance.end() || !it->is_string()) {
            return makeFailure(FailureCode::InvalidRequest, std::string("'") + member + "' must be a string");
        }
    }
    const std::string role = instance["role"];
    if (role != "entry" && role != "agent") {
        return makeFailure(FailureCode::InvalidRequest, "'role' must be \"entry\" or \"agent\"");
    }
    const std::string state = instance["state"];
    if (state != "live" && state != "leaving") {
        return makeFailure(FailureCode::InvalidRequest, "'state' must be \"live\" or \"leaving\"");
    }
    return absl::OkStatus();
}

}

absl::Status InstanceList::feed(const std::string &text, Instant due)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("name") || !document["name"].is_string()
        || document["name"].get_ref<const std::string &>().empty()) {
        return makeFailure(FailureCode::InvalidRequest, "the body must be a JSON object with a 'name'");
    }
    Change change{due, kPrefix + document["name"].get<std::string>(), std::nullopt};
    if (document.value("remove", json(false)) != true) {
        const absl::Status status = check(document);
        if (!status.ok()) {
            return status;
        }
        change.value = document.dump();
    }
    m_changes.push_back(std::move(change));
    return absl::OkStatus();
}

std::vector<std::string> InstanceList::showDue(ObjectTable &table, Instant now)
{
    std::vector<std::string> shown;
    while (!m_changes.empty() && m_changes.front().due <= now) {
        Change change = std::move(m_changes.front());
        m_changes.pop_front();
        if (change.value) {
            table.overwrite(change.key, std::move(*change.value), now);
            shown.push_back(change.key);
            continue;
        }
        const absl::StatusOr<StoredObject> present = table.get(change.key);
        if (present.ok() && table.remove(change.key, present->version, now).ok()) {
            shown.push_back(change.key);
        }
    }
    return shown;
}

std::optional<Instant> InstanceList::nextDue() const
{
    if (m_changes.empty()) {
        return std::nullopt;
    }
    return m_changes.front().due;
}

}
