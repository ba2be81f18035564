#include "platformcall.h"

#include "base/failure.h"
#include "instancelist.h"
#include "urlcoding.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <optional>

namespace RadishSwitch
{

namespace
{

constexpr char kObjects[] = "/objects";

bool isText(const std::string &value)
{
    try {
        (void)nlohmann::json(value).dump();
        return true;
    } catch (const nlohmann::json::type_error &) {
        return false;
    }
}

absl::StatusOr<PlatformCall> readListOrWatch(const UrlTarget &target)
{
    PlatformCall call;
    const bool isWatch = target.parameter("watch") == "1";
    call.kind = isWatch ? CallKind::Watch : CallKind::List;
    call.key = target.parameter("prefix").value_or("");
    if (isWatch && !absl::SimpleAtoi(target.parameter("from").value_or(""), &call.fromVersion)) {
        return makeFailure(FailureCode::InvalidRequest, "'from' must be a version");
    }
    return call;
}

/// Takes the value and the condition of a write into `call`.
absl::Status readWrite(const HttpRequest &request, PlatformCall &call)
{
    call.kind = request.method == "PUT" ? CallKind::Put : CallKind::Delete;
    call.value = request.body;
    const bool mustBeNew = request.headers.find("If-None-Match") == "*";
    const std::string version = request.headers.find("If-Match").value_or("");
    if (!mustBeNew && (!absl::SimpleAtoi(version, &call.expectedVersion) || call.expectedVersion == 0)) {
        return makeFailure(FailureCode::InvalidRequest, "a write needs 'If-Match: VERSION' or 'If-None-Match: *'");
    }
    if (call.key.starts_with(InstanceList::kPrefix)) {
        return makeFailure(FailureCode::InvalidRequest, "the list of instances is read-only");
    }
    if (!isText(call.key) || !isText(call.value)) {
        return makeFailure(FailureCode::InvalidRequest, "keys and values must be UTF-8");
    }
    return absl::OkStatus();
}

}

absl::StatusOr<PlatformCall> PlatformCall::read(const HttpRequest &request)
{
    const std::optional<UrlTarget> target = UrlTarget::parse(request.target);
    if (!target) {
        return makeFailure(FailureCode::InvalidRequest, "the target isn't a path with a query");
    }
    if (target->path() == kObjects && request.method == "GET") {
        return readListOrWatch(*target);
    }
    const std::string start = std::string(kObjects) + "/";
    if (!target->path().starts_with(start) || target->path().size() == start.size()) {
        return makeFailure(FailureCode::UnknownRoute, "there is no " + target->path());
    }
    PlatformCall call;
    call.key = target->path().substr(start.size());
    if (request.method == "GET") {
        return call;
    }
    if (request.method != "PUT" && request.method != "DELETE") {
        return makeFailure(FailureCode::InvalidRequest, "objects take GET, PUT and DELETE");
    }
    const absl::Status status = readWrite(request, call);
    if (!status.ok()) {
        return status;
    }
    return call;
}

}
