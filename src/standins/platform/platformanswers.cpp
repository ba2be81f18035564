#include "platformanswers.h"

#include "base/failure.h"
#include "httperror.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr char kVersionHeader[] = "X-Object-Version";

}

HttpResponse makeJsonResponse(std::string body)
{
    return HttpResponse{200, {{"Content-Type", "application/json"}}, std::move(body)};
}

HttpResponse makeVersionResponse(std::uint64_t version, std::string body)
{
    return HttpResponse{200, {{kVersionHeader, std::to_string(version)}}, std::move(body)};
}

HttpResponse makeChangesResponse(const StoreChanges &changes)
{
    nlohmann::json objects = nlohmann::json::array();
    for (const StoredObject &object : changes.objects) {
        objects.push_back({{"key", object.key}, {"version", object.version}, {"value", object.value}});
    }
    return makeJsonResponse(nlohmann::json{{"version", changes.nextVersion}, {"objects", objects}}.dump());
}

HttpResponse makeAwayResponse()
{
    return makeErrorResponse(makeFailure(FailureCode::StoreUnavailable, "the platform is away"));
}

HttpResponse makeObjectError(const absl::Status &failure)
{
    HttpResponse response = makeErrorResponse(failure);
    if (failureCode(failure) == FailureCode::VersionConflict) {
        response.status = 412;
    }
    return response;
}

}
