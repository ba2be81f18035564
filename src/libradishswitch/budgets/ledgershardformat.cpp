#include "budgets/ledgershard.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

#include <array>

namespace RadishSwitch
{

namespace
{

using Json = nlohmann::json;

constexpr int kIndent = 1;

struct StateName {
    PortionState state;
    const char *name;
};

constexpr std::array kStateNames{
    StateName{PortionState::Open, "open"},
    StateName{PortionState::Closing, "closing"},
    StateName{PortionState::Withheld, "withheld"},
};

/// Thrown and caught only in this file, as the exceptions of the JSON parser are, and converted to ObjectMalformed.
struct FormatError {
};

std::string nameOf(PortionState state)
{
    for (const StateName &it : kStateNames) {
        if (it.state == state) {
            return it.name;
        }
    }
    return kStateNames.front().name;
}

PortionState stateOf(const std::string &name)
{
    for (const StateName &it : kStateNames) {
        if (name == it.name) {
            return it.state;
        }
    }
    throw FormatError();
}

BudgetId budgetOf(const std::string &name)
{
    const std::size_t n = name.find('/');
    if (n == std::string::npos || n == 0 || n + 1 == name.size()) {
        throw FormatError();
    }
    return BudgetId{OrganisationId(name.substr(0, n)), name.substr(n + 1)};
}

/// Reads an amount. Amounts are integers: 1.5 or "1" means that the object is damaged.
std::int64_t amount(const Json &json, const char *field)
{
    const Json &value = json.at(field);
    if (!value.is_number_integer()) {
        throw FormatError();
    }
    return value.get<std::int64_t>();
}

Json portionToJson(const PortionRecord &portion)
{
    Json json{{"holder", portion.holder.value()},
              {"region", portion.region},
              {"granted", portion.granted},
              {"spent", portion.spent},
              {"sequence", portion.sequence},
              {"state", nameOf(portion.state)},
              {"takenAtMs", portion.takenAtMilliseconds}};
    if (!portion.reason.empty()) {
        json["reason"] = portion.reason;
    }
    if (!portion.missingAgents.empty()) {
        json["missingAgents"] = portion.missingAgents;
    }
    return json;
}

PortionRecord portionFromJson(const Json &json)
{
    PortionRecord portion;
    portion.holder = IncarnationId(json.at("holder").get<std::string>());
    portion.region = json.at("region").get<std::string>();
    portion.granted = amount(json, "granted");
    portion.spent = amount(json, "spent");
    portion.sequence = static_cast<std::uint64_t>(amount(json, "sequence"));
    portion.state = stateOf(json.at("state").get<std::string>());
    portion.takenAtMilliseconds = amount(json, "takenAtMs");
    portion.reason = json.value("reason", "");
    portion.missingAgents = json.value("missingAgents", std::vector<std::string>());
    return portion;
}

Json recordToJson(const BudgetRecord &record)
{
    Json json{{"paid", record.paid()}, {"settled", record.settled()}};
    for (const auto &[id, topUp] : record.topUps()) {
        json["topUps"][id.value()] =
            Json{{"tokens", topUp.tokens}, {"by", topUp.operatorName}, {"atMs", topUp.atMilliseconds}};
    }
    for (const auto &[id, portion] : record.portions()) {
        json["portions"][id.value()] = portionToJson(portion);
    }
    if (record.wanted()) {
        json["wanted"] = Json{{"holder", record.wanted()->holder.value()}, {"tokens", record.wanted()->tokens}};
    }
    return json;
}

BudgetRecord recordFromJson(const Json &json)
{
    std::map<PaymentId, TopUpRecord> topUps;
    const Json topUpsJson = json.value("topUps", Json::object());
    for (const auto &[id, it] : topUpsJson.items()) {
        topUps.emplace(PaymentId(id),
                       TopUpRecord{amount(it, "tokens"), it.at("by").get<std::string>(), amount(it, "atMs")});
    }
    std::map<PortionId, PortionRecord> portions;
    const Json portionsJson = json.value("portions", Json::object());
    for (const auto &[id, it] : portionsJson.items()) {
        portions.emplace(PortionId(id), portionFromJson(it));
    }
    std::optional<WantedMark> wanted;
    if (const auto it = json.find("wanted"); it != json.end()) {
        wanted = WantedMark{IncarnationId(it->at("holder").get<std::string>()), amount(*it, "tokens")};
    }
    return BudgetRecord(amount(json, "paid"), amount(json, "settled"), std::move(topUps), std::move(portions),
                        std::move(wanted));
}

Json auditToJson(const LedgerAuditEntry &entry)
{
    return Json{{"atMs", entry.atMilliseconds},      {"by", entry.operatorName}, {"action", entry.action},
                {"budget", entry.budget.toString()}, {"subject", entry.subject}, {"tokens", entry.tokens}};
}

LedgerAuditEntry auditFromJson(const Json &json)
{
    LedgerAuditEntry entry;
    entry.atMilliseconds = amount(json, "atMs");
    entry.operatorName = json.at("by").get<std::string>();
    entry.action = json.at("action").get<std::string>();
    entry.budget = budgetOf(json.at("budget").get<std::string>());
    entry.subject = json.at("subject").get<std::string>();
    entry.tokens = amount(json, "tokens");
    return entry;
}

absl::Status malformed(const std::string &what)
{
    return makeFailure(FailureCode::ObjectMalformed, "ledger shard: " + what);
}

}

std::string LedgerShard::toJson() const
{
    Json json{{"budgets", Json::object()}};
    for (const auto &[id, record] : m_budgets) {
        json["budgets"][id.toString()] = recordToJson(record);
    }
    for (const LedgerAuditEntry &entry : m_audit) {
        json["audit"].push_back(auditToJson(entry));
    }
    json["foldedAuditEntries"] = m_foldedAuditEntries;
    json["fences"] = m_fences;
    return json.dump(kIndent, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<LedgerShard> LedgerShard::fromJson(const std::string &text)
{
    LedgerShard shard;
    try {
        const Json json = Json::parse(text);
        for (const auto &[name, it] : json.at("budgets").items()) {
            shard.m_budgets.emplace(budgetOf(name), recordFromJson(it));
        }
        const Json audit = json.value("audit", Json::array());
        for (const Json &it : audit) {
            shard.m_audit.push_back(auditFromJson(it));
        }
        shard.m_foldedAuditEntries = static_cast<std::uint64_t>(amount(json, "foldedAuditEntries"));
        shard.m_fences = static_cast<std::uint64_t>(amount(json, "fences"));
    } catch (const Json::exception &) {
        return malformed("the value is not JSON of the expected form");
    } catch (const FormatError &) {
        return malformed("a value has the wrong type or an unknown name");
    }
    for (const auto &[id, record] : shard.m_budgets) {
        if (const absl::Status status = record.check(); !status.ok()) {
            return status;
        }
    }
    return shard;
}

}
