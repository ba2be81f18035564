#include "endpointmonitor.h"

#include "base/failure.h"
#include "fakeendpoint.h"
#include "fakemessagestream.h"
#include "heartbeatpublisher.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;
using namespace std::chrono_literals;

class EndpointMonitorTest : public testing::Test
{
protected:
    void start()
    {
        m_monitor->start([this] {
            m_heartbeats->publish();
        });
        m_heartbeats->start();
        m_heartbeats->addListener(m_listener);
        m_listener->sent.clear();
    }

    void report(const std::string &json)
    {
        EndpointDocument document;
        document.head.status = 200;
        document.body = json;
        m_endpoint.answerFetch(std::move(document));
    }

    void failPoll()
    {
        m_timers.advance(250ms);
        m_listener->sent.clear();
        m_endpoint.answerFetch(makeFailure(FailureCode::ConnectionLost, "refused"));
    }

    std::vector<wire::AgentHeartbeat> heard()
    {
        return m_listener->take<wire::AgentHeartbeat>();
    }

    VirtualTimerService m_timers;
    FakeEndpoint m_endpoint;
    std::shared_ptr<EndpointMonitor> m_monitor =
        std::make_shared<EndpointMonitor>(m_endpoint, m_timers, EndpointMonitorSettings());
    std::shared_ptr<HeartbeatPublisher> m_heartbeats =
        std::make_shared<HeartbeatPublisher>(*m_monitor, m_timers, wire::AgentHeartbeat());
    std::shared_ptr<FakeMessageStream> m_listener = std::make_shared<FakeMessageStream>();
};

TEST_F(EndpointMonitorTest, load_runsStartedSinceReport_areCountedAtOnce)
{
    start();
    m_monitor->noteRunStarted(100);
    m_timers.advance(250ms);
    report(R"({"running":0,"queued":0,"capacity":2,"queued_tokens":50,"tokens_per_second":80.5})");
    m_monitor->noteRunStarted(30);
    m_monitor->noteRunStarted(40);
    m_timers.advance(20ms);

    const wire::Load load = m_monitor->load();

    EXPECT_EQ(load.running(), 2u);
    EXPECT_EQ(load.queued(), 1u);
    EXPECT_EQ(load.capacity(), 2u);
    EXPECT_EQ(load.queued_tokens(), 50 + 100 + 30 + 40);
    EXPECT_EQ(load.age_ms(), 20);
    m_monitor->noteRunEnded();
    EXPECT_EQ(m_monitor->load().queued(), 0u);
}

// The engine's process dies. The entries must stop choosing it before their next regular heartbeat, and start again as
// soon as it answers.
TEST_F(EndpointMonitorTest, health_pollsFailInARow_isToldAtOnce)
{
    start();
    report("{}");
    EXPECT_TRUE(heard().at(0).healthy());
    failPoll();
    failPoll();
    EXPECT_TRUE(heard().empty());

    failPoll();

    EXPECT_FALSE(heard().at(0).healthy());
    m_timers.advance(250ms);
    m_listener->sent.clear();
    report("{}");
    EXPECT_TRUE(heard().at(0).healthy());
}

TEST_F(EndpointMonitorTest, poll_engineSilent_asksNoSecondTimeMeanwhile)
{
    start();
    m_timers.advance(3s);
    EXPECT_EQ(m_endpoint.queries.size(), 1u);
}

TEST_F(EndpointMonitorTest, cacheEvents_newOnes_areToldOnceAndAskedForFromThere)
{
    start();
    report(R"({"cache_events":[{"sequence":4,"stored":true,"prefix_hashes":[7,18446744073709551615]},
                               {"sequence":6,"stored":false,"prefix_hashes":[]}]})");
    const auto first = heard();
    ASSERT_EQ(first.at(0).cache_events_size(), 2);
    EXPECT_EQ(first[0].cache_events(0).prefix_hashes(1), 18446744073709551615u);
    m_timers.advance(500ms);

    EXPECT_EQ(m_endpoint.queries.back().target, "/load?since=6");
    EXPECT_EQ(heard().at(0).cache_events_size(), 0);
}

TEST_F(EndpointMonitorTest, setLeaving_listening_isToldAtOnce)
{
    start();
    m_heartbeats->setLeaving();
    EXPECT_EQ(heard().at(0).state(), wire::PROCESS_LEAVING);

    m_timers.advance(500ms);
    EXPECT_EQ(heard().at(0).state(), wire::PROCESS_LEAVING);
}

TEST_F(EndpointMonitorTest, publish_listenerFarBehind_isSkipped)
{
    start();
    m_listener->queued = 1'000'000;
    m_timers.advance(1s);
    EXPECT_TRUE(heard().empty());
}

struct BadReport {
    std::string name;
    std::string json;
};

class LoadReportTest : public testing::TestWithParam<BadReport>
{
};

TEST_P(LoadReportTest, parse_badReport_isTypedError)
{
    EXPECT_EQ(failureCode(parseLoadReport(GetParam().json).status()), FailureCode::MalformedMessage);
}

INSTANTIATE_TEST_SUITE_P(
    BadReports, LoadReportTest,
    testing::Values(BadReport{"empty", ""}, BadReport{"cutShort", R"({"running":1)"}, BadReport{"list", "[]"},
                    BadReport{"negative", R"({"running":-1})"}, BadReport{"huge", R"({"queued":4294967296})"},
                    BadReport{"hugeTokens", R"({"queued_tokens":18446744073709551615})"},
                    BadReport{"text", R"({"capacity":"8"})"}, BadReport{"negativeSpeed", R"({"tokens_per_second":-1})"},
                    BadReport{"modelsNoList", R"({"models":"a"})"}, BadReport{"modelNoText", R"({"models":[1]})"},
                    BadReport{"eventNoObject", R"({"cache_events":[1]})"},
                    BadReport{"hashNoNumber", R"({"cache_events":[{"prefix_hashes":["a"]}]})"}),
    [](const auto &info) {
        return info.param.name;
    });
