#include "failure.h"
#include "poolrouter.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <map>

using namespace RadishSwitch;
using namespace std::chrono_literals;

class PoolRouterTest : public testing::Test
{
protected:
    EndpointReport reportOf(const std::string &name)
    {
        EndpointReport report;
        report.endpoint = EndpointId(name);
        report.incarnation = IncarnationId(name + "-first");
        report.sequence = ++m_sequence;
        report.pool = m_pool;
        report.address = name + ":7001";
        report.zone = "hall-a";
        report.region = "south-central";
        report.load.capacity = 8;
        report.load.tokensPerSecond = 1000;
        report.models = {"drape"};
        return report;
    }

    void report(const std::string &name)
    {
        m_directory.applyReport(reportOf(name), m_timers.now());
    }

    RouteQuery query() const
    {
        RouteQuery query;
        query.pool = m_pool;
        query.model = "drape";
        query.promptTokens = 100;
        query.zone = "hall-a";
        query.region = "south-central";
        return query;
    }

    std::string choose(const RouteQuery &query)
    {
        const absl::StatusOr<RouteChoice> choice = m_router.choose(query, m_timers.now());
        return choice.ok() ? choice->endpoint.value() : std::string(failureName(failureCode(choice.status())));
    }

    std::map<std::string, int> chooseTimes(int n, const RouteQuery &query)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < n; ++i) {
            ++counts[choose(query)];
        }
        return counts;
    }

    const PoolId m_pool{"drape-llm"};
    std::uint64_t m_sequence = 0;
    VirtualTimerService m_timers;
    SeededRandom m_random;
    EndpointDirectory m_directory;
    PoolRouter m_router{m_directory, m_random};
};

TEST_F(PoolRouterTest, choose_noEndpointHeard_refusesWithRetryAfter)
{
    m_directory.applyListed({EndpointId("a"), "a:7001", m_pool, "hall-a", "south-central", false}, m_timers.now());

    const absl::StatusOr<RouteChoice> choice = m_router.choose(query(), m_timers.now());

    EXPECT_EQ(failureCode(choice.status()), FailureCode::NoEndpoint);
    EXPECT_EQ(retryAfterOf(choice.status()), 1000ms);
}

TEST_F(PoolRouterTest, choose_endpointHeard_givesItsAgentsAddress)
{
    report("a");

    const absl::StatusOr<RouteChoice> choice = m_router.choose(query(), m_timers.now());

    ASSERT_TRUE(choice.ok());
    EXPECT_EQ(*choice, (RouteChoice{EndpointId("a"), "a:7001"}));
}

TEST_F(PoolRouterTest, choose_unknownPolicy_failsWithInvalidSettings)
{
    report("a");
    RouteQuery other = query();
    other.policy = "by-the-moon";

    EXPECT_EQ(choose(other), "invalid_settings");
}
