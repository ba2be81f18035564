#include "truthreader.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

#include <array>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

namespace RadishSwitch
{

namespace
{

using Json = nlohmann::json;

struct EventName {
    ScenarioEventKind kind;
    std::string_view name;
};

constexpr std::array kEventNames{
    EventName{ScenarioEventKind::TopUp, "top_up"},
    EventName{ScenarioEventKind::EndpointUp, "endpoint_up"},
    EventName{ScenarioEventKind::EndpointDown, "endpoint_down"},
    EventName{ScenarioEventKind::EndpointLeaving, "endpoint_leaving"},
    EventName{ScenarioEventKind::EndpointBack, "endpoint_back"},
    EventName{ScenarioEventKind::StopBegin, "stop_begin"},
    EventName{ScenarioEventKind::StopEnd, "stop_end"},
    EventName{ScenarioEventKind::Fault, "fault"},
    EventName{ScenarioEventKind::DoorSide, "door_side"},
    EventName{ScenarioEventKind::StoreDown, "store_down"},
    EventName{ScenarioEventKind::StoreUp, "store_up"},
};

absl::Status malformed(const std::string &what)
{
    return makeFailure(FailureCode::MalformedMessage, what);
}

/// Hands each line over until one of them fails.
absl::Status forEachLine(std::string_view text, const std::function<absl::Status(std::string_view)> &take)
{
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.empty()) {
            continue;
        }
        const absl::Status status = take(line);
        if (!status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

WorkRecord workRecordOf(const Json &run, bool isChat)
{
    WorkRecord record;
    record.isChat = isChat;
    run.at("run").get_to(record.number);
    run.at("endpoint").get_to(record.endpoint);
    run.at("content_hash").get_to(record.contentHash);
    record.isDone = run.at("state") == "done";
    run.at("start_us").get_to(record.startTime);
    run.at("end_us").get_to(record.endTime);
    if (isChat) {
        run.at("prompt_tokens").get_to(record.promptTokens);
        run.at("completion_tokens").get_to(record.completionTokens);
        run.at("cached_tokens").get_to(record.cachedTokens);
        run.at("continued_tokens").get_to(record.continuedTokens);
        run.at("continuation_wrong").get_to(record.isContinuationWrong);
    }
    return record;
}

LedgerBudget ledgerBudgetOf(const std::string &name, const Json &budget)
{
    LedgerBudget record;
    record.name = name;
    budget.at("paid").get_to(record.paid);
    budget.at("settled").get_to(record.settled);
    const Json portions = budget.value("portions", Json::object());
    for (const auto &[id, portion] : portions.items()) {
        record.portions.push_back(
            LedgerPortion{portion.at("granted").get<std::int64_t>(), portion.at("spent").get<std::int64_t>()});
    }
    return record;
}

ScenarioEventKind eventKindOf(const std::string &name)
{
    for (const EventName &it : kEventNames) {
        if (it.name == name) {
            return it.kind;
        }
    }
    throw Json::other_error::create(501, "unknown event " + name, nullptr);
}

}

absl::Status TruthReader::addRuns(std::string_view text, bool isChat)
{
    try {
        std::map<std::uint64_t, WorkRecord> runs;
        const auto add = [&](const Json &run) {
            const WorkRecord record = workRecordOf(run, isChat);
            runs.insert_or_assign(record.number, record);
        };
        if (text.substr(0, 8) == R"({"runs":)") {
            const Json document = Json::parse(text);
            for (const Json &run : document.at("runs")) {
                add(run);
            }
        } else {
            const absl::Status status = forEachLine(text, [&](std::string_view line) {
                add(Json::parse(line));
                return absl::OkStatus();
            });
            if (!status.ok()) {
                return status;
            }
        }
        for (const auto &[number, record] : runs) {
            m_records.work.push_back(record);
        }
        return absl::OkStatus();
    } catch (const Json::exception &error) {
        return malformed(std::string("runs: ") + error.what());
    }
}

absl::Status TruthReader::addLedger(std::string_view text)
{
    try {
        const Json document = Json::parse(text);
        for (const Json &object : document.at("objects")) {
            const Json shard = Json::parse(object.at("value").get<std::string>());
            const Json budgets = shard.value("budgets", Json::object());
            for (const auto &[name, budget] : budgets.items()) {
                m_records.ledger.push_back(ledgerBudgetOf(name, budget));
            }
        }
        return absl::OkStatus();
    } catch (const Json::exception &error) {
        return malformed(std::string("ledger: ") + error.what());
    }
}

absl::Status TruthReader::addTries(std::string_view text)
{
    return forEachLine(text, [&](std::string_view line) {
        auto record = tryRecordOfJson(line);
        if (record.ok()) {
            m_records.tries.push_back(*std::move(record));
        }
        return record.status();
    });
}

absl::Status TruthReader::addEvents(std::string_view text)
{
    try {
        return forEachLine(text, [&](std::string_view line) {
            const Json event = Json::parse(line);
            m_records.events.push_back(ScenarioEvent{
                event.at("time_us").get<std::int64_t>(), eventKindOf(event.at("event").get<std::string>()),
                event.value("subject", std::string()), event.value("tokens", std::int64_t(0))});
            return absl::OkStatus();
        });
    } catch (const Json::exception &error) {
        return malformed(std::string("events: ") + error.what());
    }
}

const TruthRecords &TruthReader::records() const
{
    return m_records;
}

absl::StatusOr<std::string> readFile(const std::string &name)
{
    std::ifstream file(name);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return makeFailure(FailureCode::InvalidSettings, "can't read " + name);
    }
    return text.str();
}

}
