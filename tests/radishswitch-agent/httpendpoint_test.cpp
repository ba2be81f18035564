#include "httpendpoint.h"

#include "asyncresult.h"
#include "base/failure.h"
#include "httpserver.h"
#include "rawendpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <gtest/gtest.h>

#include <condition_variable>
#include <future>
#include <mutex>

using namespace RadishSwitch;
using namespace std::chrono_literals;

/// What came of one call, for a test that waits on its own thread.
class CallRecorder
{
public:
    EndpointCallbacks callbacks()
    {
        EndpointCallbacks callbacks;
        callbacks.onHead = [this](AnswerHead answerHead) {
            change([&] {
                head = std::move(answerHead);
            });
        };
        callbacks.onBytes = [this](const std::string &more) {
            change([&] {
                bytes += more;
            });
        };
        callbacks.onEnd = [this](absl::Status status) {
            change([&] {
                end = std::move(status);
            });
        };
        return callbacks;
    }

    template<typename Condition>
    void wait(Condition condition)
    {
        std::unique_lock lock(m_mutex);
        ASSERT_TRUE(m_changed.wait_for(lock, 30s, condition));
    }

    absl::Status waitForEnd()
    {
        wait([this] {
            return end.has_value();
        });
        return end.value_or(absl::OkStatus());
    }

    AnswerHead head;
    std::string bytes;
    std::optional<absl::Status> end;

private:
    template<typename Change>
    void change(Change change)
    {
        const std::lock_guard lock(m_mutex);
        change();
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
};

class HttpEndpointTest : public testing::Test
{
protected:
    HttpEndpointTest()
    {
        m_workers.start();
    }

    ~HttpEndpointTest() override
    {
        m_workers.stop();
    }

    std::string serve(HttpServer::Handler handler)
    {
        m_server = std::make_unique<HttpServer>(m_workers, HttpServerSettings(), std::move(handler));
        EXPECT_TRUE(m_server->listen("127.0.0.1", 0).ok());
        return "127.0.0.1:" + std::to_string(m_server->port());
    }

    std::shared_ptr<EndpointCall> call(const std::string &address, Duration silenceTimeout = 30s,
                                       Duration reachTimeout = 30s)
    {
        m_endpoint = std::make_unique<HttpEndpoint>(m_workers, m_client, address);
        EndpointRequest request;
        request.request = RequestId("r");
        request.attempt = AttemptId("a");
        request.method = "POST";
        request.target = "/orders";
        request.contentType = "text/plain";
        request.body = "two blinds";
        request.priority = 3;
        request.reachTimeout = reachTimeout;
        request.firstByteTimeout = 1h;
        request.silenceTimeout = silenceTimeout;
        return m_endpoint->call(request, m_recorder.callbacks());
    }

    /// Waits in a handler until the test calls `release`, or for ever.
    boost::asio::awaitable<void> held()
    {
        co_await awaitCallback<bool>([this](std::function<void(bool)> callback) {
            m_held.set_value(std::move(callback));
        });
    }

    void waitUntilHeld()
    {
        m_release = m_held.get_future().get();
    }

    WorkerPool m_workers{2};
    HttpClient m_client{m_workers};
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<HttpEndpoint> m_endpoint;
    CallRecorder m_recorder;
    std::promise<std::function<void(bool)>> m_held;
    std::function<void(bool)> m_release;
};

TEST_F(HttpEndpointTest, call_answerInParts_handsEachOverBeforeTheNext)
{
    HttpRequest seen;
    call(serve([&](HttpExchange &exchange) -> boost::asio::awaitable<void> {
        seen = exchange.request();
        HttpHeaders headers;
        headers.add("Content-Type", "text/plain");
        co_await exchange.beginStream(201, std::move(headers));
        co_await exchange.write("first,");
        co_await held();
        co_await exchange.write("second");
        co_await exchange.endStream();
    }));
    waitUntilHeld();
    m_recorder.wait([this] {
        return m_recorder.bytes == "first,";
    });
    m_release(true);

    EXPECT_TRUE(m_recorder.waitForEnd().ok());
    EXPECT_EQ(m_recorder.bytes, "first,second");
    EXPECT_EQ(m_recorder.head, (AnswerHead{201, "text/plain"}));
    EXPECT_EQ(seen.body, "two blinds");
    EXPECT_EQ(seen.headers.find("X-Request-Id"), "r");
    EXPECT_EQ(seen.headers.find("X-Attempt-Id"), "a");
    EXPECT_EQ(seen.headers.find("X-Priority"), "3");
}

TEST_F(HttpEndpointTest, call_nobodyListens_isNotRun)
{
    const std::string address = serve({});
    m_server->close();

    call(address);

    const absl::Status status = m_recorder.waitForEnd();
    EXPECT_EQ(failureCode(status), FailureCode::ConnectionLost);
    EXPECT_EQ(outcomeOf(status), RunOutcome::NotRun);
}

// The endpoint hangs so that its queue of new connections is full. The run that waits there has not begun, so that it
// is said soon and may be tried elsewhere, however long its answer might take.
TEST_F(HttpEndpointTest, call_endpointAcceptsNoConnection_isNotRunLongBeforeItsDeadline)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context);
    acceptor.open(boost::asio::ip::tcp::v4());
    acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    acceptor.listen(0);
    boost::asio::ip::tcp::socket filler(context);
    filler.connect(acceptor.local_endpoint());

    call("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), 30s, 50ms);

    const absl::Status status = m_recorder.waitForEnd();
    EXPECT_EQ(failureCode(status), FailureCode::ConnectionSilent);
    EXPECT_EQ(outcomeOf(status), RunOutcome::NotRun);
}

// The endpoint sends a part and then nothing, on a connection that stays open. The call ends at the bound it was given.
TEST_F(HttpEndpointTest, call_endpointSilentInMidAnswer_failsWithUnknownOutcome)
{
    call(serve([&](HttpExchange &exchange) -> boost::asio::awaitable<void> {
             co_await exchange.beginStream(200, HttpHeaders());
             co_await exchange.write("first");
             co_await held();
         }),
         50ms);

    const absl::Status status = m_recorder.waitForEnd();
    EXPECT_EQ(failureCode(status), FailureCode::ConnectionSilent);
    EXPECT_EQ(outcomeOf(status), RunOutcome::Unknown);
    waitUntilHeld();
    m_release(false);
}

// Guards against bytes that are no answer, and parts of answers, which the caller gets as a whole answer.
TEST_F(HttpEndpointTest, call_endpointSendsBrokenAnswer_failsWithUnknownOutcome)
{
    std::vector<RawAnswer> answers(4);
    answers[0].beginning = "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok";
    answers[1].beginning = "HTTP/1.1 200 OK\r\nX Odd: a\r\nContent-Length: 2\r\n\r\nok";
    answers[2].beginning = "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok";
    answers[2].end = RawEnd::Close;
    answers[3].beginning = "HTTP/1.1 200 OK\r\n\r\npart";
    answers[3].end = RawEnd::Reset;
    for (const RawAnswer &answer : answers) {
        RawEndpoint endpoint([&answer](const std::string & /*head*/) {
            return answer;
        });
        m_recorder.end.reset();
        call("127.0.0.1:" + std::to_string(endpoint.port()));
        const absl::Status status = m_recorder.waitForEnd();
        EXPECT_FALSE(status.ok()) << answer.beginning;
        EXPECT_EQ(outcomeOf(status), RunOutcome::Unknown) << answer.beginning;
    }
}

// A completion that is not streamed sends nothing until all of it is made. Its caller is gone: the engine must learn of
// it now and not when its work is done.
TEST_F(HttpEndpointTest, cancel_beforeTheHead_endsTheCallAtOnce)
{
    const auto call = this->call(serve([&](HttpExchange &) -> boost::asio::awaitable<void> {
        co_await held();
    }));
    waitUntilHeld();

    call->cancel();

    const absl::Status status = m_recorder.waitForEnd();
    EXPECT_EQ(failureCode(status), FailureCode::ConnectionLost);
    EXPECT_EQ(outcomeOf(status), RunOutcome::Unknown);
    m_release(false);
}

TEST_F(HttpEndpointTest, fetch_smallDocument_givesStatusAndBody)
{
    const std::string address = serve([](HttpExchange &exchange) -> boost::asio::awaitable<void> {
        HttpResponse response;
        response.status = 404;
        response.body = exchange.request().target;
        co_await exchange.respond(std::move(response));
    });
    HttpEndpoint endpoint(m_workers, m_client, address);
    std::promise<absl::StatusOr<EndpointDocument>> answer;
    EndpointQuery query;
    query.target = "/load?since=4";
    endpoint.fetch(query, 30s, [&](absl::StatusOr<EndpointDocument> document) {
        answer.set_value(std::move(document));
    });

    const absl::StatusOr<EndpointDocument> document = answer.get_future().get();

    ASSERT_TRUE(document.ok());
    EXPECT_EQ(document->head.status, 404);
    EXPECT_EQ(document->body, "/load?since=4");
}
