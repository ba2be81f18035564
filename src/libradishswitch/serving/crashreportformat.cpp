#include "serving/crashreportformat.h"

#include "base/boundedtext.h"
#include "base/failure.h"
#include "serving/sharedpromptformat.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

constexpr char kCrashedField[] = "crashed";
constexpr char kAnsweredField[] = "answered";
constexpr char kExoneratedField[] = "exonerated";
constexpr char kEndpointField[] = "endpoint";
constexpr char kBornField[] = "born_at_ms";
constexpr char kRequestField[] = "request";
constexpr char kBeforeField[] = "crashes_before";
constexpr char kPromptField[] = "prompt";
constexpr char kPartField[] = "part";
constexpr char kCrashesField[] = "crashes";

absl::StatusOr<RequestFingerprint> readRequest(const nlohmann::json &json)
{
    const auto text = json.get<std::string>();
    const std::optional<RequestFingerprint> request = RequestFingerprint::parse(text);
    if (!request) {
        return makeFailure(FailureCode::ObjectMalformed, "invalid request fingerprint: " + boundedText(text));
    }
    return *request;
}

nlohmann::json writeIncarnation(const EndpointIncarnation &incarnation)
{
    return {{kEndpointField, incarnation.endpoint.value()}, {kBornField, incarnation.startedAtMilliseconds}};
}

EndpointIncarnation readIncarnation(const nlohmann::json &json)
{
    return {EndpointId(json.at(kEndpointField).get<std::string>()), json.at(kBornField).get<std::int64_t>()};
}

nlohmann::json writeRun(const CrashedRun &run)
{
    nlohmann::json json = writeIncarnation(run.incarnation);
    json[kRequestField] = run.request.toString();
    json[kBeforeField] = run.crashesBefore;
    if (!run.prompt.parts.empty()) {
        json[kPromptField] = writeSharedPrompt(run.prompt);
    }
    return json;
}

/// Gateways of an earlier release write no prompts.
absl::StatusOr<CrashedRun> readRun(const nlohmann::json &json)
{
    const absl::StatusOr<RequestFingerprint> request = readRequest(json.at(kRequestField));
    if (!request.ok()) {
        return request.status();
    }
    CrashedRun run{readIncarnation(json), *request, json.at(kBeforeField).get<int>()};
    if (json.contains(kPromptField)) {
        absl::StatusOr<SharedPrompt> prompt = readSharedPrompt(json.at(kPromptField));
        if (!prompt.ok()) {
            return prompt.status();
        }
        run.prompt = std::move(*prompt);
    }
    return run;
}

nlohmann::json writeExonerated(const ExoneratedPart &exonerated)
{
    nlohmann::json crashes = nlohmann::json::array();
    for (const EndpointIncarnation &incarnation : exonerated.crashes) {
        crashes.push_back(writeIncarnation(incarnation));
    }
    return {{kPartField, partIdText(exonerated.part)}, {kCrashesField, crashes}};
}

absl::StatusOr<ExoneratedPart> readExonerated(const nlohmann::json &json)
{
    const auto text = json.at(kPartField).get<std::string>();
    const std::optional<std::uint64_t> part = parsePartId(text);
    if (!part) {
        return makeFailure(FailureCode::ObjectMalformed, "invalid part of a prompt: " + boundedText(text));
    }
    ExoneratedPart exonerated{*part, {}};
    for (const nlohmann::json &it : json.at(kCrashesField)) {
        exonerated.crashes.push_back(readIncarnation(it));
    }
    return exonerated;
}

absl::StatusOr<CrashReport> readReport(const nlohmann::json &json)
{
    CrashReport report;
    for (const nlohmann::json &it : json.at(kCrashedField)) {
        absl::StatusOr<CrashedRun> run = readRun(it);
        if (!run.ok()) {
            return run.status();
        }
        report.crashed.push_back(std::move(*run));
    }
    for (const nlohmann::json &it : json.at(kAnsweredField)) {
        const absl::StatusOr<RequestFingerprint> request = readRequest(it);
        if (!request.ok()) {
            return request.status();
        }
        report.answered.push_back(*request);
    }
    if (!json.contains(kExoneratedField)) {
        return report;
    }
    for (const nlohmann::json &it : json.at(kExoneratedField)) {
        absl::StatusOr<ExoneratedPart> exonerated = readExonerated(it);
        if (!exonerated.ok()) {
            return exonerated.status();
        }
        report.exonerated.push_back(std::move(*exonerated));
    }
    return report;
}

}

std::string writeCrashReport(const CrashReport &report)
{
    nlohmann::json crashed = nlohmann::json::array();
    for (const CrashedRun &run : report.crashed) {
        crashed.push_back(writeRun(run));
    }
    nlohmann::json answered = nlohmann::json::array();
    for (const RequestFingerprint &request : report.answered) {
        answered.push_back(request.toString());
    }
    nlohmann::json json{{kCrashedField, crashed}, {kAnsweredField, answered}};
    for (const ExoneratedPart &it : report.exonerated) {
        json[kExoneratedField].push_back(writeExonerated(it));
    }
    return json.dump();
}

absl::StatusOr<CrashReport> readCrashReport(const std::string &text)
{
    try {
        return readReport(nlohmann::json::parse(text));
    } catch (const nlohmann::json::exception &e) {
        return makeFailure(FailureCode::ObjectMalformed, boundedText(e.what()));
    }
}

}
