#pragma once

#include "base/identifier.h"
#include "httpmessages.h"
#include "requests/chatrequest.h"
#include "table/steeringtable.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// Everything that is decided about a request before it runs, from its bytes and the table alone.
struct RunPlan {
    RequestId request;
    BudgetId budget;
    PoolId pool;
    std::string policy;
    std::string model;
    std::string fingerprint;
    /// How the agent asks the endpoint.
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    std::optional<ChatRequest> chat;
    bool isKeyed = false;
    bool isNonIdempotent = false;
    bool isStreamed = false;
    std::int64_t worstCaseTokens = 0;
    std::int64_t promptTokens = 0;
    int priority = 0;
    double share = 1;
    std::int64_t deadlineMilliseconds = 0;
    std::vector<std::uint64_t> prefixHashes;
};

/// The organisation whose API key the request shows; MissingKey or UnknownKey.
absl::StatusOr<const OrganisationRow *> authenticate(const HttpRequest &request, const SteeringTable &table);

/// Finds organisation, budget, route and pool of a request and checks its body.
///
/// `freshName` names the request when the caller gave no Idempotency-Key; `draw` from [0, 1) chooses among weighted
/// routes. Errors: MissingKey, UnknownKey, UnknownRoute, UnknownModel, InvalidRequest.
absl::StatusOr<RunPlan> planRun(const HttpRequest &request, const SteeringTable &table, const std::string &freshName,
                                double draw);

}
