#include "faultplan.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

using nlohmann::json;

constexpr int kHighest = 1'000'000;

absl::Status wrong(const std::string &name, const std::string &wanted)
{
    return makeFailure(FailureCode::InvalidRequest, "'" + name + "' must be " + wanted);
}

absl::Status readNumber(const std::string &name, const json &value, int &number)
{
    if (!value.is_number_integer() || value < 0 || value > kHighest) {
        return wrong(name, "a whole number from 0 to 1000000");
    }
    number = value.get<int>();
    return absl::OkStatus();
}

absl::Status readMilliseconds(const std::string &name, const json &value, Duration &span)
{
    int n = 0;
    const absl::Status status = readNumber(name, value, n);
    if (status.ok()) {
        span = std::chrono::milliseconds(n);
    }
    return status;
}

absl::Status readShare(const std::string &name, const json &value, double &share)
{
    if (!value.is_number() || value < 0.0 || value > 1.0) {
        return wrong(name, "a number from 0 to 1");
    }
    share = value.get<double>();
    return absl::OkStatus();
}

absl::Status readBool(const std::string &name, const json &value, bool &flag)
{
    if (!value.is_boolean()) {
        return wrong(name, "true or false");
    }
    flag = value.get<bool>();
    return absl::OkStatus();
}

absl::Status readAway(const json &value, FaultPlan::Away &away)
{
    if (value == "no" || value == false) {
        away = FaultPlan::Away::No;
    } else if (value == "unavailable" || value == true) {
        away = FaultPlan::Away::Unavailable;
    } else if (value == "refused") {
        away = FaultPlan::Away::Refused;
    } else {
        return wrong("away", "\"no\", \"unavailable\", \"refused\", true or false");
    }
    return absl::OkStatus();
}

absl::Status readMember(const std::string &name, const json &value, FaultPlan &plan)
{
    if (name == "away") {
        return readAway(value, plan.away);
    }
    if (name == "latency_ms") {
        return readMilliseconds(name, value, plan.latency);
    }
    if (name == "answer_latency_ms") {
        return readMilliseconds(name, value, plan.answerLatency);
    }
    if (name == "lose_answers") {
        return readNumber(name, value, plan.loseAnswers);
    }
    if (name == "lose_answer_share") {
        return readShare(name, value, plan.loseAnswerShare);
    }
    if (name == "stale_reads_ms") {
        return readMilliseconds(name, value, plan.staleReads);
    }
    if (name == "silent_watches") {
        return readBool(name, value, plan.silentWatches);
    }
    if (name == "reads_per_second") {
        return readNumber(name, value, plan.readsPerSecond);
    }
    if (name == "writes_per_second") {
        return readNumber(name, value, plan.writesPerSecond);
    }
    if (name == "list_lag_ms") {
        return readMilliseconds(name, value, plan.listLag);
    }
    return makeFailure(FailureCode::InvalidRequest, "there is no fault '" + name + "'");
}

std::int64_t milliseconds(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

const char *awayName(FaultPlan::Away away)
{
    switch (away) {
    case FaultPlan::Away::Unavailable:
        return "unavailable";
    case FaultPlan::Away::Refused:
        return "refused";
    case FaultPlan::Away::No:
        break;
    }
    return "no";
}

}

absl::Status FaultPlan::merge(const std::string &text)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return makeFailure(FailureCode::InvalidRequest, "the body must be a JSON object");
    }
    FaultPlan merged = *this;
    for (const auto &[name, value] : document.items()) {
        const absl::Status status = readMember(name, value, merged);
        if (!status.ok()) {
            return status;
        }
    }
    *this = merged;
    return absl::OkStatus();
}

std::string FaultPlan::toJson() const
{
    return json{{"away", awayName(away)},
                {"latency_ms", milliseconds(latency)},
                {"answer_latency_ms", milliseconds(answerLatency)},
                {"lose_answers", loseAnswers},
                {"lose_answer_share", loseAnswerShare},
                {"stale_reads_ms", milliseconds(staleReads)},
                {"silent_watches", silentWatches},
                {"reads_per_second", readsPerSecond},
                {"writes_per_second", writesPerSecond},
                {"list_lag_ms", milliseconds(listLag)}}
        .dump();
}

}
