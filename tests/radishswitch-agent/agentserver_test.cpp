#include "agentserver.h"

#include "base/failure.h"
#include "fakeendpoint.h"
#include "fakemessagestream.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class AgentServerTest : public testing::Test
{
protected:
    using Stream = std::shared_ptr<FakeMessageStream>;

    Stream order(std::uint64_t fence, const std::string &incarnation = "this-life")
    {
        wire::OrderRequest order;
        order.set_pool("pool");
        order.set_fence(fence);
        order.set_agent_incarnation(incarnation);
        order.set_action("load_adapter");
        order.set_name("quotes");
        const auto stream = std::make_shared<FakeMessageStream>();
        m_server.serveOrder(stream);
        stream->receive(order.SerializeAsString());
        return stream;
    }

    static std::string failureOf(const Stream &stream)
    {
        return stream->take<wire::OrderAnswer>().at(0).failure().code();
    }

    void answerOrder(int status)
    {
        EndpointDocument document;
        document.head.status = status;
        m_endpoint.answerFetch(std::move(document));
    }

    VirtualTimerService m_timers;
    FakeEndpoint m_endpoint;
    std::shared_ptr<EndpointMonitor> m_monitor =
        std::make_shared<EndpointMonitor>(m_endpoint, m_timers, EndpointMonitorSettings());
    Metrics m_registry;
    AgentMetrics m_metrics{m_registry};
    std::shared_ptr<AgentRuns> m_runs =
        std::make_shared<AgentRuns>(m_endpoint, *m_monitor, m_metrics, m_timers, AgentRunsSettings());
    AgentServer m_server{
        m_runs, std::make_shared<HeartbeatPublisher>(*m_monitor, m_timers, wire::AgentHeartbeat()),
        std::make_shared<OrderForwarder>(m_endpoint, FenceGate(PoolId("pool"), IncarnationId("this-life"))),
        IncarnationId("this-life")};
    std::shared_ptr<FakeMessageStream> m_stream = std::make_shared<FakeMessageStream>();
};

TEST_F(AgentServerTest, serve_malformedFrame_cancelsTheStreamAndRunsNothing)
{
    using Serve = void (AgentServer::*)(const MessageStreamPointer &) const;
    for (const Serve serve : {&AgentServer::serveRun, &AgentServer::serveAttach, &AgentServer::serveBar,
                              &AgentServer::serveFind, &AgentServer::serveClose, &AgentServer::serveOrder}) {
        const auto stream = std::make_shared<FakeMessageStream>();
        (m_server.*serve)(stream);
        stream->receive("\xff\xff not a message");
        EXPECT_TRUE(stream->isCancelled);
        stream->close(makeFailure(FailureCode::ConnectionLost, "cancelled"));
    }
    EXPECT_TRUE(m_endpoint.calls.empty());
}

TEST_F(AgentServerTest, serveRun_secondFrame_isIgnored)
{
    wire::RunRequest request;
    request.set_request_id("r");
    request.set_attempt_id("a");
    request.set_deadline_ms(1000);
    m_server.serveRun(m_stream);
    // Held until its first frame: a stream that nobody holds is finished by the transport.
    EXPECT_GT(m_stream.use_count(), 1);
    m_stream->receive(request.SerializeAsString());
    request.set_request_id("r2");
    request.set_attempt_id("a2");
    m_stream->receive(request.SerializeAsString());

    EXPECT_EQ(m_endpoint.calls.size(), 1u);
}

TEST_F(AgentServerTest, serveRun_idMissing_isRefused)
{
    m_server.serveRun(m_stream);
    m_stream->receive("");

    EXPECT_EQ(m_stream->take<wire::RunUpdate>().at(0).refused().code(), "invalid_request");
}

TEST_F(AgentServerTest, serveBar_unseenAttempt_answersBarredAndFinishes)
{
    wire::BarRequest request;
    request.set_request_id("r");
    request.set_attempt_id("a");
    m_server.serveBar(m_stream);
    m_stream->receive(request.SerializeAsString());

    EXPECT_EQ(m_stream->take<wire::RunRecord>().at(0).state(), wire::RUN_BARRED);
    EXPECT_TRUE(m_stream->isFinished);
}

// The agent was started anew at its old address. It has never seen the run that its earlier life took, so its "barred"
// would make the entry say "not run" of a request that ran.
TEST_F(AgentServerTest, serve_questionToEarlierLife_isLeftWithoutAnswer)
{
    wire::BarRequest bar;
    bar.set_request_id("r");
    bar.set_attempt_id("a");
    bar.set_agent_incarnation("earlier-life");
    m_server.serveBar(m_stream);
    m_stream->receive(bar.SerializeAsString());
    wire::AttachRequest attach;
    attach.set_agent_incarnation("earlier-life");
    const auto attached = std::make_shared<FakeMessageStream>();
    m_server.serveAttach(attached);
    attached->receive(attach.SerializeAsString());

    EXPECT_TRUE(m_stream->isFinished && m_stream->sent.empty());
    EXPECT_TRUE(attached->isFinished && attached->sent.empty());
}

// Two holders of one pool: the first was paused, its lease lapsed, the second gave its orders. The first wakes and
// sends the order that it had in mind, to an engine that ignores fencing numbers.
TEST_F(AgentServerTest, serveOrder_holderWokenAfterItsLease_isRefusedWithoutAskingTheEndpoint)
{
    const Stream second = order(6);
    answerOrder(200);
    EXPECT_EQ(failureOf(second), "");

    EXPECT_EQ(failureOf(order(5)), "stale_fence");
    EXPECT_EQ(failureOf(order(7, "earlier-life")), "stale_fence");

    ASSERT_EQ(m_endpoint.queries.size(), 1u);
    EXPECT_EQ(m_endpoint.queries[0].target, "/orders");
    EXPECT_EQ(m_endpoint.queries[0].body, R"({"action":"load_adapter","fence":6,"name":"quotes"})");
}

TEST_F(AgentServerTest, serveOrder_severalAtOnce_reachTheEndpointOneAfterAnother)
{
    const Stream first = order(5);
    const Stream second = order(6);
    EXPECT_EQ(m_endpoint.queries.size(), 1u);

    answerOrder(409);
    EXPECT_EQ(m_endpoint.queries.size(), 2u);
    m_endpoint.answerFetch(makeFailure(FailureCode::ConnectionSilent, "no answer"));

    EXPECT_EQ(failureOf(first), "stale_fence");
    EXPECT_EQ(failureOf(second), "endpoint_failed");
}
