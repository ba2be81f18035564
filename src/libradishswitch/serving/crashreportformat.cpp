#include "serving/crashreportformat.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

constexpr char kCrashedField[] = "crashed";
constexpr char kAnsweredField[] = "answered";
constexpr char kEndpointField[] = "endpoint";
constexpr char kBornField[] = "born_at_ms";
constexpr char kRequestField[] = "request";
constexpr char kBeforeField[] = "crashes_before";

absl::StatusOr<RequestFingerprint> readRequest(const nlohmann::json &json)
{
    const auto text = json.get<std::string>();
    const std::optional<RequestFingerprint> request = RequestFingerprint::parse(text);
    if (!request) {
        return makeFailure(FailureCode::ObjectMalformed, "invalid request fingerprint: " + text);
    }
    return *request;
}

}

std::string writeCrashReport(const CrashReport &report)
{
    nlohmann::json crashed = nlohmann::json::array();
    for (const CrashedRun &run : report.crashed) {
        crashed.push_back({{kEndpointField, run.incarnation.endpoint.value()},
                           {kBornField, run.incarnation.startedAtMilliseconds},
                           {kRequestField, run.request.toString()},
                           {kBeforeField, run.crashesBefore}});
    }
    nlohmann::json answered = nlohmann::json::array();
    for (const RequestFingerprint &request : report.answered) {
        answered.push_back(request.toString());
    }
    return nlohmann::json{{kCrashedField, crashed}, {kAnsweredField, answered}}.dump();
}

absl::StatusOr<CrashReport> readCrashReport(const std::string &text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        CrashReport report;
        for (const nlohmann::json &it : json.at(kCrashedField)) {
            const absl::StatusOr<RequestFingerprint> request = readRequest(it.at(kRequestField));
            if (!request.ok()) {
                return request.status();
            }
            const EndpointIncarnation incarnation{EndpointId(it.at(kEndpointField).get<std::string>()),
                                                  it.at(kBornField).get<std::int64_t>()};
            report.crashed.push_back({incarnation, *request, it.at(kBeforeField).get<int>()});
        }
        for (const nlohmann::json &it : json.at(kAnsweredField)) {
            const absl::StatusOr<RequestFingerprint> request = readRequest(it);
            if (!request.ok()) {
                return request.status();
            }
            report.answered.push_back(*request);
        }
        return report;
    } catch (const nlohmann::json::exception &e) {
        return makeFailure(FailureCode::ObjectMalformed, e.what());
    }
}

}
