#include "runplan.h"

#include "base/failure.h"
#include "base/fingerprint.h"
#include "routing/routingpolicy.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

namespace
{

constexpr char kFresh[] = "fresh-1";
constexpr char kChatBody[] = R"({"model":"quilt","messages":[{"role":"user","content":"hi"}],"max_tokens":10})";

OrganisationRow organisation(const std::string &name, const std::string &key)
{
    OrganisationRow row;
    row.name = OrganisationId(name);
    row.keySha256 = {sha256Hex(key)};
    return row;
}

TableRows rows()
{
    PoolRow engines;
    engines.name = PoolId("engines");
    engines.models = {"quilt"};
    PoolRow orders;
    orders.name = PoolId("orders");
    orders.kind = PoolKind::Service;
    orders.nonIdempotent = {{"POST", "/blinds"}};
    orders.tokensPerCall = 7;
    TableRows rows;
    rows.organisations = {organisation("harbour", "key-h"), organisation("magnolia", "key-m")};
    rows.pools = {engines, orders};
    rows.routes = {{"r1", OrganisationId(kAnyOrganisation), "quilt", PoolId("engines")},
                   {"r2", OrganisationId(kAnyOrganisation), "orders", PoolId("orders")}};
    return rows;
}

HttpRequest call(const std::string &target, const std::string &body, const std::string &key = "key-m")
{
    return {"POST", target, HttpHeaders{{"Authorization", "Bearer " + key}}, body};
}

HttpRequest chat(const std::string &body = kChatBody)
{
    return call("/v1/chat/completions", body);
}

HttpRequest with(HttpRequest request, const std::string &name, const std::string &value)
{
    request.headers.add(name, value);
    return request;
}

}

class RunPlanTest : public testing::Test
{
protected:
    absl::StatusOr<RunPlan> plan(const HttpRequest &request) const
    {
        return planRun(request, m_table, kFresh, 0.5);
    }

    FailureCode failureOf(const HttpRequest &request) const
    {
        return failureCode(plan(request).status());
    }

private:
    SteeringTable m_table{1, rows()};
};

TEST_F(RunPlanTest, planRun_chat_reservesTheWorstCaseForItsPool)
{
    const auto plan = this->plan(chat());
    ASSERT_TRUE(plan.ok()) << plan.status();
    EXPECT_EQ(plan->pool, PoolId("engines"));
    EXPECT_EQ(plan->budget, (BudgetId{OrganisationId("magnolia"), "main"}));
    EXPECT_EQ(plan->request, RequestId(kFresh));
    EXPECT_EQ(plan->worstCaseTokens, plan->promptTokens + 10);
    EXPECT_FALSE(plan->isKeyed);
    EXPECT_FALSE(plan->isNonIdempotent);
}

TEST_F(RunPlanTest, planRun_withoutAKnownKey_isRefused)
{
    HttpRequest keyless = chat();
    keyless.headers = {};
    HttpRequest basic = chat();
    basic.headers = HttpHeaders{{"Authorization", "Basic key-m"}};
    HttpRequest empty = chat();
    empty.headers = HttpHeaders{{"Authorization", "Bearer "}};
    EXPECT_EQ(failureOf(keyless), FailureCode::MissingKey);
    EXPECT_EQ(failureOf(basic), FailureCode::MissingKey);
    EXPECT_EQ(failureOf(empty), FailureCode::MissingKey);
    EXPECT_EQ(failureOf(call("/v1/chat/completions", kChatBody, "stolen")), FailureCode::UnknownKey);
    EXPECT_EQ(httpStatusOf(FailureCode::MissingKey), 401);
    EXPECT_EQ(httpStatusOf(FailureCode::UnknownKey), 401);
}

TEST_F(RunPlanTest, planRun_whereNoRouteLeads_isNotFound)
{
    EXPECT_EQ(failureOf(chat(R"({"model":"none","messages":[{"role":"user","content":"hi"}]})")),
              FailureCode::UnknownModel);
    EXPECT_EQ(failureOf(call("/services/none/x", "")), FailureCode::UnknownRoute);
    EXPECT_EQ(failureOf(call("/services/", "")), FailureCode::UnknownRoute);
    EXPECT_EQ(failureOf(call("/elsewhere", "")), FailureCode::UnknownRoute);
    EXPECT_EQ(httpStatusOf(FailureCode::UnknownModel), 404);
    EXPECT_EQ(httpStatusOf(FailureCode::UnknownRoute), 404);
}

TEST_F(RunPlanTest, planRun_badInput_isRefusedAsInvalid)
{
    const HttpRequest cases[] = {
        chat(""),
        chat("[]"),
        chat("{"),
        chat(R"({"model":"quilt"})"),
        chat(R"({"messages":[{"role":"user","content":"hi"}]})"),
        chat(R"({"model":"quilt","messages":[]})"),
        chat(R"({"model":"quilt","messages":[{"role":"user","content":"hi"}],"max_tokens":0})"),
        chat(R"({"model":"quilt","messages":[{"role":"user","content":"hi"}],"stream":"yes"})"),
        with(chat(), "Idempotency-Key", ""),
        with(chat(), "Idempotency-Key", std::string(257, 'k')),
        with(chat(), "Radishswitch-Deadline-Ms", "0"),
        with(chat(), "Radishswitch-Deadline-Ms", "-5"),
        with(chat(), "Radishswitch-Deadline-Ms", "600001"),
        with(chat(), "Radishswitch-Deadline-Ms", "5s"),
        with(chat(), "Radishswitch-Deadline-Ms", ""),
    };
    for (const HttpRequest &request : cases) {
        EXPECT_EQ(failureOf(request), FailureCode::InvalidRequest) << request.body;
    }
    EXPECT_EQ(httpStatusOf(FailureCode::InvalidRequest), 400);
}

TEST_F(RunPlanTest, planRun_sameKeyInTwoBudgets_namesTwoRequests)
{
    const auto magnolia = plan(with(chat(), "Idempotency-Key", "order-1"));
    const auto again = plan(with(chat(), "Idempotency-Key", "order-1"));
    const auto harbour = plan(with(call("/v1/chat/completions", kChatBody, "key-h"), "Idempotency-Key", "order-1"));
    const auto saturday = plan(with(with(chat(), "Idempotency-Key", "order-1"), "Radishswitch-Budget", "saturday"));
    EXPECT_TRUE(magnolia->isKeyed);
    EXPECT_EQ(magnolia->request, again->request);
    EXPECT_NE(magnolia->request, harbour->request);
    EXPECT_NE(magnolia->request, saturday->request);
    EXPECT_EQ(saturday->budget.name, "saturday");
}

TEST_F(RunPlanTest, planRun_sameKeyOtherBody_hasAnotherFingerprint)
{
    const auto one = plan(with(chat(), "Idempotency-Key", "order-1"));
    const auto other = plan(
        with(chat(R"({"model":"quilt","messages":[{"role":"user","content":"yo"}]})"), "Idempotency-Key", "order-1"));
    EXPECT_EQ(one->request, other->request);
    EXPECT_NE(one->fingerprint, other->fingerprint);
}

TEST_F(RunPlanTest, planRun_deadlineHeader_setsTheDeadline)
{
    EXPECT_EQ(plan(chat())->deadlineMilliseconds, 120'000);
    EXPECT_EQ(plan(with(chat(), "radishswitch-deadline-ms", "1"))->deadlineMilliseconds, 1);
    EXPECT_EQ(plan(with(chat(), "Radishswitch-Deadline-Ms", "600000"))->deadlineMilliseconds, 600'000);
}

// The plan names a policy to the router. One that the router does not know would refuse every request of the pool, as
// the caller's fault.
TEST_F(RunPlanTest, planRun_policyOfThePool_isOneThatTheRouterKnows)
{
    for (const PoolPolicy policy : {PoolPolicy::Default, PoolPolicy::RoundRobin, PoolPolicy::LeastOutstanding}) {
        TableRows changed = rows();
        changed.pools.front().policy = policy;
        const SteeringTable table(2, changed);
        const auto plan = planRun(chat(), table, kFresh, 0.5);
        ASSERT_TRUE(plan.ok()) << plan.status();
        EXPECT_NE(makeRoutingPolicy(plan->policy), nullptr) << plan->policy;
    }
}

TEST_F(RunPlanTest, planRun_service_isNonIdempotentByRuleOrHeader)
{
    const auto blinds = plan(call("/services/orders/blinds/5?x=1", "b"));
    ASSERT_TRUE(blinds.ok()) << blinds.status();
    EXPECT_TRUE(blinds->isNonIdempotent);
    EXPECT_EQ(blinds->target, "/blinds/5?x=1");
    EXPECT_EQ(blinds->worstCaseTokens, 7);
    EXPECT_TRUE(plan(call("/services/orders//x/../%62linds", "b"))->isNonIdempotent);
    EXPECT_FALSE(plan(call("/services/orders/quotes", "b"))->isNonIdempotent);
    EXPECT_TRUE(
        plan(with(call("/services/orders/quotes", "b"), "Radishswitch-Non-Idempotent", "true"))->isNonIdempotent);
    EXPECT_EQ(plan(call("/services/orders", "b"))->target, "/");
}
