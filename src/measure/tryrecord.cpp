#include "tryrecord.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

#include <array>

namespace RadishSwitch
{

namespace
{

using Json = nlohmann::ordered_json;

constexpr std::array kKinds{CallKind::Chat, CallKind::Lookup, CallKind::Order};
constexpr std::array kOutcomes{TryOutcome::Whole, TryOutcome::Refused,  TryOutcome::Cut,
                               TryOutcome::Mixed, TryOutcome::TimedOut, TryOutcome::NotConnected};
constexpr std::array kTold{ToldOutcome::Nothing, ToldOutcome::NotRun, ToldOutcome::Unknown};

template<typename Values>
auto valueOfName(const Values &values, const std::string &name) -> typename Values::value_type
{
    for (const auto value : values) {
        if (RadishSwitch::toString(value) == name) {
            return value;
        }
    }
    throw Json::other_error::create(501, "unknown name " + name, nullptr);
}

}

std::string_view toString(CallKind kind)
{
    switch (kind) {
    case CallKind::Chat:
        return "chat";
    case CallKind::Lookup:
        return "lookup";
    case CallKind::Order:
        return "order";
    }
    return "";
}

std::string_view toString(TryOutcome outcome)
{
    switch (outcome) {
    case TryOutcome::Whole:
        return "whole";
    case TryOutcome::Refused:
        return "refused";
    case TryOutcome::Cut:
        return "cut";
    case TryOutcome::Mixed:
        return "mixed";
    case TryOutcome::TimedOut:
        return "timed_out";
    case TryOutcome::NotConnected:
        return "not_connected";
    }
    return "";
}

std::string_view toString(ToldOutcome told)
{
    switch (told) {
    case ToldOutcome::Nothing:
        return "";
    case ToldOutcome::NotRun:
        return "not_run";
    case ToldOutcome::Unknown:
        return "unknown";
    }
    return "";
}

std::string toJson(const TryRecord &record)
{
    const Json document{
        {"id", record.id},
        {"try", record.number},
        {"key", record.key},
        {"organisation", record.organisation},
        {"budget", record.budget},
        {"kind", toString(record.kind)},
        {"streamed", record.isStreamed},
        {"content_hash", record.contentHash},
        {"target", record.target},
        {"start_us", record.startTime},
        {"end_us", record.endTime},
        {"outcome", toString(record.outcome)},
        {"status", record.status},
        {"code", record.code},
        {"told", toString(record.told)},
        {"retry_after", record.isRetryAfterGiven},
        {"prompt_tokens", record.promptTokens},
        {"completion_tokens", record.completionTokens},
        {"worst_case_tokens", record.worstCaseTokens},
        {"true_cost_tokens", record.trueCostTokens},
        {"usage_right", record.isUsageRight},
        {"ttft_us", record.firstTokenSpan},
        {"longest_gap_us", record.longestGap},
        {"last", record.isLast},
    };
    return document.dump();
}

absl::StatusOr<TryRecord> tryRecordOfJson(std::string_view line)
{
    try {
        const Json document = Json::parse(line);
        TryRecord record;
        document.at("id").get_to(record.id);
        document.at("try").get_to(record.number);
        document.at("key").get_to(record.key);
        document.at("organisation").get_to(record.organisation);
        document.at("budget").get_to(record.budget);
        record.kind = valueOfName(kKinds, document.at("kind").get<std::string>());
        document.at("streamed").get_to(record.isStreamed);
        document.at("content_hash").get_to(record.contentHash);
        document.at("target").get_to(record.target);
        document.at("start_us").get_to(record.startTime);
        document.at("end_us").get_to(record.endTime);
        record.outcome = valueOfName(kOutcomes, document.at("outcome").get<std::string>());
        document.at("status").get_to(record.status);
        document.at("code").get_to(record.code);
        record.told = valueOfName(kTold, document.at("told").get<std::string>());
        document.at("retry_after").get_to(record.isRetryAfterGiven);
        document.at("prompt_tokens").get_to(record.promptTokens);
        document.at("completion_tokens").get_to(record.completionTokens);
        document.at("worst_case_tokens").get_to(record.worstCaseTokens);
        document.at("true_cost_tokens").get_to(record.trueCostTokens);
        document.at("usage_right").get_to(record.isUsageRight);
        document.at("ttft_us").get_to(record.firstTokenSpan);
        document.at("longest_gap_us").get_to(record.longestGap);
        document.at("last").get_to(record.isLast);
        return record;
    } catch (const Json::exception &error) {
        return makeFailure(FailureCode::MalformedMessage, error.what());
    }
}

}
