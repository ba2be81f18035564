#include "runplan.h"

#include "base/failure.h"
#include "base/fingerprint.h"
#include "routing/defaultpolicy.h"
#include "routing/leastoutstandingpolicy.h"
#include "routing/prefixcachehints.h"
#include "routing/roundrobinpolicy.h"

#include <charconv>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr char kChatTarget[] = "/v1/chat/completions";
constexpr char kServicesPrefix[] = "/services/";
constexpr std::size_t kLongestKey = 256;
constexpr std::int64_t kDefaultDeadlineMilliseconds = 120'000;
constexpr std::int64_t kLongestDeadlineMilliseconds = 600'000;
constexpr std::size_t kRequestIdDigits = 32;

std::string policyName(PoolPolicy policy)
{
    switch (policy) {
    case PoolPolicy::RoundRobin:
        return std::string(RoundRobinPolicy::kName);
    case PoolPolicy::LeastOutstanding:
        return std::string(LeastOutstandingPolicy::kName);
    case PoolPolicy::Default:
        break;
    }
    return std::string(DefaultPolicy::kName);
}

absl::StatusOr<std::int64_t> deadlineOf(const HttpRequest &request)
{
    const std::optional<std::string> header = request.headers.find("Radishswitch-Deadline-Ms");
    if (!header) {
        return kDefaultDeadlineMilliseconds;
    }
    std::int64_t n = 0;
    const auto [end, ec] = std::from_chars(header->data(), header->data() + header->size(), n);
    if (ec != std::errc() || end != header->data() + header->size() || n < 1 || n > kLongestDeadlineMilliseconds) {
        return makeFailure(FailureCode::InvalidRequest,
                           "Radishswitch-Deadline-Ms must be a whole number from 1 to 600000");
    }
    return n;
}

// The key names the request within its budget, so two organisations that choose the same key do not meet.
absl::Status nameRequest(const HttpRequest &request, const std::string &freshName, RunPlan &plan)
{
    const std::optional<std::string> key = request.headers.find("Idempotency-Key");
    if (!key) {
        plan.request = RequestId(freshName);
        return absl::OkStatus();
    }
    if (key->empty() || key->size() > kLongestKey) {
        return makeFailure(FailureCode::InvalidRequest, "Idempotency-Key must have 1 to 256 characters");
    }
    plan.isKeyed = true;
    plan.request = RequestId(sha256Hex(plan.budget.toString() + "\n" + *key).substr(0, kRequestIdDigits));
    return absl::OkStatus();
}

absl::Status planChat(const HttpRequest &request, const SteeringTable &table, const OrganisationRow &organisation,
                      double draw, RunPlan &plan)
{
    absl::StatusOr<ChatRequest> chat = ChatRequest::parse(request.body);
    if (!chat.ok()) {
        return chat.status();
    }
    const RouteRow *route = table.routeForModel(organisation.name, chat->model(), draw);
    if (route == nullptr) {
        return makeFailure(FailureCode::UnknownModel, "no route leads to the model " + chat->model());
    }
    plan.pool = route->pool;
    plan.model = chat->model();
    plan.method = "POST";
    plan.target = kChatTarget;
    plan.contentType = "application/json";
    plan.body = chat->engineBody();
    plan.isStreamed = chat->isStreamed();
    plan.worstCaseTokens = chat->worstCaseTokens();
    plan.promptTokens = chat->promptTokensBound();
    plan.prefixHashes = prefixChainHashes(chat->model(), chat->promptText());
    plan.chat = std::move(*chat);
    return absl::OkStatus();
}

absl::Status planService(const HttpRequest &request, const SteeringTable &table, const OrganisationRow &organisation,
                         double draw, RunPlan &plan)
{
    const std::string rest = request.target.substr(std::string_view(kServicesPrefix).size());
    const std::size_t slash = rest.find('/');
    const std::string service = rest.substr(0, slash);
    const RouteRow *route = table.routeForService(organisation.name, service, draw);
    const PoolRow *pool = route == nullptr ? nullptr : table.pool(route->pool);
    if (pool == nullptr) {
        return makeFailure(FailureCode::UnknownRoute, "no route leads to the service " + service);
    }
    plan.pool = route->pool;
    plan.method = request.method;
    plan.target = slash == std::string::npos ? "/" : rest.substr(slash);
    plan.contentType = request.headers.find("Content-Type").value_or("");
    plan.body = request.body;
    plan.worstCaseTokens = pool->tokensPerCall;
    plan.isNonIdempotent = pool->isNonIdempotent(request.method, plan.target)
        || request.headers.find("Radishswitch-Non-Idempotent").value_or("") == "true";
    return absl::OkStatus();
}

}

absl::StatusOr<const OrganisationRow *> authenticate(const HttpRequest &request, const SteeringTable &table)
{
    constexpr std::string_view kBearer = "Bearer ";
    const std::optional<std::string> header = request.headers.find("Authorization");
    if (!header || !header->starts_with(kBearer) || header->size() == kBearer.size()) {
        return makeFailure(FailureCode::MissingKey, "the Authorization header must be \"Bearer\" and an API key");
    }
    const OrganisationRow *row = table.organisationOfKey(sha256Hex(header->substr(kBearer.size())));
    if (row == nullptr) {
        return makeFailure(FailureCode::UnknownKey, "no organisation has this API key");
    }
    return row;
}

absl::StatusOr<RunPlan> planRun(const HttpRequest &request, const SteeringTable &table, const std::string &freshName,
                                double draw)
{
    const absl::StatusOr<const OrganisationRow *> organisation = authenticate(request, table);
    if (!organisation.ok()) {
        return organisation.status();
    }
    RunPlan plan;
    plan.budget.organisation = (*organisation)->name;
    plan.budget.name = request.headers.find("Radishswitch-Budget").value_or((*organisation)->defaultBudget);
    plan.priority = static_cast<int>((*organisation)->priority);
    plan.share = static_cast<double>((*organisation)->share);
    const absl::StatusOr<std::int64_t> deadline = deadlineOf(request);
    if (!deadline.ok()) {
        return deadline.status();
    }
    plan.deadlineMilliseconds = *deadline;
    if (const absl::Status status = nameRequest(request, freshName, plan); !status.ok()) {
        return status;
    }
    absl::Status status;
    if (request.target == kChatTarget && request.method == "POST") {
        status = planChat(request, table, **organisation, draw, plan);
    } else if (request.target.starts_with(kServicesPrefix)) {
        status = planService(request, table, **organisation, draw, plan);
    } else {
        status = makeFailure(FailureCode::UnknownRoute, "there is nothing at " + request.method + " " + request.target);
    }
    if (!status.ok()) {
        return status;
    }
    if (const PoolRow *pool = table.pool(plan.pool)) {
        plan.policy = policyName(pool->policy);
    }
    plan.fingerprint = sha256Hex(request.method + "\n" + request.target + "\n" + request.body);
    return plan;
}

}
