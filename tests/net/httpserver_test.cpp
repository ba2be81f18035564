#include "asyncresult.h"
#include "base/failure.h"
#include "loopbackfixture.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <thread>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

using namespace RadishSwitch;

namespace
{

boost::asio::awaitable<void> echo(HttpExchange &exchange)
{
    HttpResponse response;
    response.headers.add("X-Peer", exchange.peer());
    response.body = exchange.request().method + " " + exchange.request().target + " " + exchange.request().body;
    (void)co_await exchange.respond(std::move(response));
}

HttpRequest post(std::string body)
{
    HttpRequest request;
    request.method = "POST";
    request.body = std::move(body);
    return request;
}

std::string errorCodeOf(const std::string &body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    const bool isError = document.is_object() && document.contains("error") && document["error"].contains("message")
        && document["error"].contains("type");
    return isError ? document["error"].value("code", "") : "";
}

/// Refuses everything while it is closed.
class ClosedIntake : public RequestIntake
{
public:
    bool isRefusing(const HttpRequest &head) override
    {
        lastLength = head.headers.find("Content-Length").value_or("");
        return isClosed;
    }

    HttpResponse refuse(const HttpRequest &request) override
    {
        lastTarget = request.target;
        return HttpResponse{503, {{"Retry-After", "0.02"}}, "busy"};
    }

    void noteCutOff(std::int64_t unread, Duration /*age*/) override
    {
        unreadBytes = unread;
    }

    std::atomic<bool> isClosed = true;
    std::atomic<std::int64_t> unreadBytes = 0;
    std::string lastTarget;
    std::string lastLength;
};

/// Accepts everything and, if told so, closes connections after their answers.
class ClosingIntake : public RequestIntake
{
public:
    bool isRefusing(const HttpRequest & /*head*/) override
    {
        return false;
    }

    HttpResponse refuse(const HttpRequest & /*request*/) override
    {
        return HttpResponse{503, {}, ""};
    }

    bool closesAfterAnswer() override
    {
        ++asked;
        return isClosing;
    }

    std::atomic<bool> isClosing = true;
    std::atomic<int> asked = 0;
};

}

class HttpServerTest : public LoopbackFixture
{
};

TEST_F(HttpServerTest, request_withBody_reachesHandlerWhole)
{
    const auto response = fetch(serve(echo), post("hello"));

    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body, "POST / hello");
}

TEST_F(HttpServerTest, connection_afterAnswer_servesNextRequest)
{
    const std::string address = serve(echo);

    const auto first = fetch(address);
    const auto second = fetch(address);

    ASSERT_TRUE(first.ok() && second.ok());
    EXPECT_EQ(first->headers.find("x-peer"), second->headers.find("x-peer"));
}

struct BadInput {
    const char *name;
    std::string bytes;
    int status;
    std::string code;
};

class HttpDoorTest : public LoopbackFixture, public testing::WithParamInterface<BadInput>
{
};

TEST_P(HttpDoorTest, badInput_isRefusedWithTypedErrorAndNeverReachesHandler)
{
    // The caller sends something that is no whole request inside the limits. It gets a typed error, or a closed
    // connection where nothing can be answered; the handler sees nothing of it, and the next caller is served.
    std::atomic<int> handled = 0;
    HttpServerSettings settings;
    settings.limits.maximumHeaderBytes = 1024;
    settings.limits.maximumBodyBytes = 1000;
    HttpServer &server = start(
        [&handled](HttpExchange &exchange) -> boost::asio::awaitable<void> {
            ++handled;
            co_await echo(exchange);
        },
        settings);

    const std::string answer = exchangeRaw(server.port(), GetParam().bytes);

    const std::string body = answer.substr(std::min(answer.size(), answer.find("\r\n\r\n") + 4));
    const std::string statusLine = "HTTP/1.1 " + std::to_string(GetParam().status) + " ";
    EXPECT_EQ(handled, 0);
    EXPECT_EQ(answer.empty(), GetParam().status == 0) << answer;
    EXPECT_TRUE(GetParam().status == 0 || answer.starts_with(statusLine)) << answer;
    EXPECT_EQ(errorCodeOf(body), GetParam().code);
    EXPECT_TRUE(fetch(addressOf(server)).ok());
}

INSTANTIATE_TEST_SUITE_P(
    Door, HttpDoorTest,
    testing::Values(
        BadInput{"noHttp", "hello\r\n\r\n", 400, "invalid_request"},
        BadInput{"binary", std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\x00\r\n\r\n", 16), 400,
                 "invalid_request"},
        BadInput{"wrongVersion", "GET / HTTP/7.0\r\n\r\n", 400, "invalid_request"},
        BadInput{"spaceInName", "GET / HTTP/1.1\r\nHo st: a\r\n\r\n", 400, "invalid_request"},
        BadInput{"controlInValue", std::string("GET / HTTP/1.1\r\nHost: a\0b\r\n\r\n", 29), 400, "invalid_request"},
        BadInput{"lengthNotNumber", "POST / HTTP/1.1\r\nContent-Length: ten\r\n\r\n", 400, "invalid_request"},
        BadInput{"lengthNegative", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400, "invalid_request"},
        BadInput{"lengthTwice", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400,
                 "invalid_request"},
        BadInput{"lengthAndChunked",
                 "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400,
                 "invalid_request"},
        BadInput{"badChunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "invalid_request"},
        BadInput{"headerTooLarge", "GET / HTTP/1.1\r\nX-Long: " + std::string(2000, 'a') + "\r\n\r\n", 431,
                 "header_too_large"},
        BadInput{"targetTooLong", "GET /" + std::string(2000, 'a') + " HTTP/1.1\r\n\r\n", 431, "header_too_large"},
        BadInput{"bodyTooLarge", "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'a'), 413,
                 "body_too_large"},
        BadInput{"chunksTooLarge",
                 "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'a')
                     + "\r\n0\r\n\r\n",
                 413, "body_too_large"},
        BadInput{"bodyCutShort", "POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\nabc", 0, ""},
        BadInput{"headerCutShort", "GET / HTTP/1.1\r\nHost:", 0, ""}, BadInput{"nothing", "", 0, ""}),
    [](const auto &info) {
        return std::string(info.param.name);
    });

TEST_F(HttpServerTest, upload_farAboveLimit_getsItsRefusalAndNotAReset)
{
    // The caller is still sending when the refusal goes out. A close with its bytes unread would make the kernel reset
    // the connection and drop the 413 that the caller has not read yet.
    HttpServerSettings settings;
    settings.limits.maximumBodyBytes = 1000;

    for (int n = 0; n < 20; ++n) {
        const auto response = fetch(serve(echo, settings), post(std::string(4 * 1024 * 1024, 'a')));

        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->status, 413);
    }
}

// Guards against a caller that makes the server keep bytes which never become a part of a request: the extension of a
// chunk counts towards no limit of the body.
TEST_F(HttpServerTest, chunkExtensionWithoutEnd_isRefused)
{
    const std::string address = serve(echo);
    const std::string answer = exchangeRaw(servers.back()->port(),
                                           "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;"
                                               + std::string(1024 * 1024, 'a'));
    EXPECT_EQ(errorCodeOf(answer.substr(std::min(answer.find("\r\n\r\n"), answer.size() - 4) + 4)), "header_too_large")
        << answer;
}

TEST_F(HttpServerTest, handler_throws_callerGetsTypedErrorWithUnknownOutcome)
{
    const auto response = fetch(serve([](HttpExchange &) -> boost::asio::awaitable<void> {
        throw std::runtime_error("a bug");
        co_return;
    }));

    ASSERT_TRUE(response.ok());
    EXPECT_EQ(response->status, 500);
    EXPECT_EQ(nlohmann::json::parse(response->body)["error"]["outcome"], "unknown");
}

TEST_F(HttpServerTest, stream_readAsItComes_givesAllBytesInOrder)
{
    constexpr int kPieces = 2000;
    const std::string address = serve([](HttpExchange &exchange) -> boost::asio::awaitable<void> {
        HttpHeaders headers;
        headers.add("Content-Type", "text/event-stream");
        (void)co_await exchange.beginStream(200, headers);
        for (int n = 0; n < kPieces; ++n) {
            (void)co_await exchange.write(std::to_string(n) + ";");
        }
        (void)co_await exchange.endStream();
    });
    std::string expected;
    for (int n = 0; n < kPieces; ++n) {
        expected += std::to_string(n) + ";";
    }

    const auto stream = wait(client.open(address, {}, kLong));

    ASSERT_TRUE(stream.ok()) << stream.status();
    EXPECT_EQ((*stream)->headers().find("content-type"), "text/event-stream");
    std::string got;
    for (;;) {
        const auto piece = wait((*stream)->read(kLong));
        ASSERT_TRUE(piece.ok()) << piece.status();
        if (piece->empty()) {
            break;
        }
        got += *piece;
    }
    EXPECT_EQ(got, expected);
}

TEST_F(HttpServerTest, stream_readerTakesNothing_holdsWriterBackAndIsGivenUp)
{
    // A caller opens a stream and stops reading. The writer must not go on filling memory for it: its writes wait once
    // the kernel's buffers are full, and past the write timeout the caller is given up as gone.
    constexpr std::size_t kPiece = 1024 * 1024;
    constexpr std::size_t kMost = 256 * kPiece;
    std::promise<std::pair<absl::Status, std::size_t>> outcome;
    HttpServerSettings settings;
    settings.writeTimeout = kShort;
    const std::string address = serve(
        [&outcome](HttpExchange &exchange) -> boost::asio::awaitable<void> {
            std::size_t written = 0;
            absl::Status status = co_await exchange.beginStream(200, HttpHeaders());
            while (status.ok() && written < kMost) {
                status = co_await exchange.write(std::string(kPiece, 'a'));
                written += kPiece;
            }
            outcome.set_value({std::move(status), written});
        },
        settings);

    const auto stream = wait(client.open(address, {}, kLong));
    auto result = outcome.get_future();
    ASSERT_EQ(result.wait_for(kLong), std::future_status::ready);
    const auto [status, written] = result.get();

    EXPECT_EQ(failureCode(status), FailureCode::ConnectionLost);
    EXPECT_LT(written, kMost);
}

TEST_F(HttpServerTest, stream_handlerReturnsInside_readerSeesItCutAndNotEnded)
{
    const std::string address = serve([](HttpExchange &exchange) -> boost::asio::awaitable<void> {
        (void)co_await exchange.beginStream(200, HttpHeaders());
        (void)co_await exchange.write("half an ans");
    });

    const auto response = fetch(address);

    EXPECT_EQ(failureCode(response.status()), FailureCode::ConnectionLost);
    EXPECT_EQ(outcomeOf(response.status()), RunOutcome::Unknown);
}

TEST_F(HttpServerTest, drain_requestInProgress_isAnsweredAndThenAllIsClosed)
{
    // The operator stops the process while a request runs and another connection is idle. The running request gets
    // its whole answer, both connections close, and nobody can connect any more.
    using Resume = std::function<void(bool)>;
    std::promise<Resume> started;
    std::promise<void> drained;
    HttpServerSettings settings;
    settings.drainGrace = kShort;
    HttpServer &server = start(
        [&](HttpExchange &exchange) -> boost::asio::awaitable<void> {
            if (exchange.request().target == "/slow") {
                (void)co_await awaitCallback<bool>([&started](Resume resume) {
                    started.set_value(std::move(resume));
                });
            }
            co_await echo(exchange);
        },
        settings);
    HttpRequest slow;
    slow.target = "/slow";
    auto answer =
        boost::asio::co_spawn(workers.context(), client.fetch(addressOf(server), slow, kLong), boost::asio::use_future);
    const Resume resume = started.get_future().get();
    EXPECT_EQ(server.requestsInProgress(), 1);

    server.drain([&drained] {
        drained.set_value();
    });
    resume(true);

    const auto response = answer.get();
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->headers.find("connection"), "close");
    drained.get_future().wait();
    EXPECT_EQ(failureCode(fetch(addressOf(server)).status()), FailureCode::ConnectionLost);
}

TEST_F(HttpServerTest, drain_requestOnIdleConnection_isStillAnswered)
{
    // A client sends its next request on a kept connection at the moment at which the server begins to drain. Closed
    // at once, the connection would swallow a request that the client can't know to be lost.
    HttpServer &server = start(echo);
    ASSERT_TRUE(fetch(addressOf(server)).ok());

    server.drain();
    const auto response = fetch(addressOf(server), post("late"));

    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->body, "POST / late");
}

TEST_F(HttpServerTest, close_requestInProgressElsewhere_connectionIsClosedOnReturn)
{
    // A server closes while one of its connections is busy on another worker. A caller that sends on that connection
    // after the close has returned would get no answer and could not know whether its request ran.
    constexpr Duration kBusy = std::chrono::milliseconds(200);
    std::promise<void> started;
    HttpServer &server = start([&](HttpExchange &exchange) -> boost::asio::awaitable<void> {
        started.set_value();
        std::this_thread::sleep_for(kBusy);
        co_await echo(exchange);
    });
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), server.port()});
    boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    started.get_future().wait();

    server.close();

    char c = 0;
    boost::system::error_code ec;
    socket.non_blocking(true);
    while (!ec) {
        socket.read_some(boost::asio::buffer(&c, 1), ec);
    }
    EXPECT_NE(ec, boost::asio::error::would_block);
}

TEST_F(HttpServerTest, bind_requestBeforeAccepting_waitsAndIsServedThen)
{
    // A process that starts does not know yet whom it serves. A caller that comes meanwhile waits in the queue of new
    // connections and is served a little later, where a refusal would cost both sides a round.
    servers.push_back(std::make_unique<HttpServer>(workers, HttpServerSettings(), echo));
    HttpServer &server = *servers.back();
    ASSERT_TRUE(server.bind("127.0.0.1", 0).ok());
    auto answer = boost::asio::co_spawn(workers.context(), client.fetch(addressOf(server), post("early"), kLong),
                                        boost::asio::use_future);
    EXPECT_EQ(answer.wait_for(kShort), std::future_status::timeout);

    server.startAccepting();
    server.startAccepting();

    const auto response = answer.get();
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->body, "POST / early");
}

TEST_F(HttpServerTest, bind_closedBeforeAccepting_refusesConnections)
{
    servers.push_back(std::make_unique<HttpServer>(workers, HttpServerSettings(), echo));
    HttpServer &server = *servers.back();
    ASSERT_TRUE(server.bind("127.0.0.1", 0).ok());
    server.close();

    EXPECT_EQ(failureCode(fetch(addressOf(server)).status()), FailureCode::ConnectionLost);
}

TEST_F(HttpServerTest, listen_wrongAddressOrMissingCertificate_isInvalidSettings)
{
    HttpServerSettings tls;
    tls.certificateFile = "/nonexistent.pem";
    HttpServer oneFile(workers, tls, echo);
    tls.privateKeyFile = "/nonexistent.key";
    HttpServer noFiles(workers, tls, echo);
    HttpServer plain(workers, {}, echo);

    EXPECT_EQ(failureCode(plain.listen("localhost", 0)), FailureCode::InvalidSettings);
    EXPECT_EQ(failureCode(oneFile.listen("127.0.0.1", 0)), FailureCode::InvalidSettings);
    EXPECT_EQ(failureCode(noFiles.listen("127.0.0.1", 0)), FailureCode::InvalidSettings);
}

// The caller leaves while its request is worked on. The handler hears of it at once, and can end what it began.
TEST_F(HttpServerTest, callerThatLeavesBeforeItsAnswer_isToldToTheHandler)
{
    std::promise<void> gone;
    HttpServer &server = start([&gone](HttpExchange &exchange) -> boost::asio::awaitable<void> {
        exchange.setPeerGoneCallback([&gone] {
            gone.set_value();
        });
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, std::chrono::seconds(2));
        boost::system::error_code ec;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    });
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), server.port()});
    boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    socket.close();
    EXPECT_EQ(gone.get_future().wait_for(std::chrono::seconds(1)), std::future_status::ready);
}

TEST_F(HttpServerTest, closingAfterAnswers_endsEachConnectionWithItsAnswer)
{
    HttpServer &server = start([](HttpExchange &exchange) -> boost::asio::awaitable<void> {
        HttpResponse response;
        co_await exchange.respond(std::move(response));
    });
    server.closeAfterAnswers();
    const std::string answer = exchangeRaw(server.port(), "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
}

TEST_F(HttpServerTest, limitsSetLater_holdForNewConnections)
{
    HttpServer &server = start([](HttpExchange &exchange) -> boost::asio::awaitable<void> {
        HttpResponse response;
        co_await exchange.respond(std::move(response));
    });
    HttpRequest request;
    request.method = "POST";
    request.body = std::string(2'000, 'x');
    EXPECT_EQ(fetch(addressOf(server), request)->status, 200);
    HttpServerLimits limits;
    limits.maximumBodyBytes = 1'000;
    server.setLimits(limits);
    HttpClient fresh(workers);
    EXPECT_EQ(wait(fresh.fetch(addressOf(server), request, kLong))->status, 413);
}

TEST_F(HttpServerTest, requestRefusedUnread_getsItsAnswerWithoutItsBodyAndNeverReachesTheHandler)
{
    // A server with no time for more is sent a request of 5 MB. Its caller gets the refusal before it has sent all of
    // that, on a connection that ends: the rest of the body must not be taken for another request.
    ClosedIntake intake;
    HttpServerSettings settings;
    settings.intake = &intake;
    std::atomic<int> handled = 0;
    HttpServer &server = start(
        [&handled](HttpExchange &exchange) -> boost::asio::awaitable<void> {
            ++handled;
            HttpResponse response;
            response.body = "done";
            (void)co_await exchange.respond(std::move(response));
        },
        settings);

    const std::string answer =
        exchangeRaw(server.port(), "POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: 5000000\r\n\r\nthe first bytes");

    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503"));
    EXPECT_NE(answer.find("Retry-After: 0.02"), std::string::npos);
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    EXPECT_EQ(intake.lastTarget, "/large");
    EXPECT_EQ(intake.lastLength, "5000000");
    EXPECT_EQ(handled, 0);
    intake.isClosed = false;
    const auto response = fetch(addressOf(server));
    ASSERT_TRUE(response.ok());
    EXPECT_EQ(response->status, 200);
}

// Guards against callers of kept connections that never move to another instance, and against an answer that is cut
// short by the end of its connection.
TEST_F(HttpServerTest, closesAfterAnswer_wholeAndStreamedAnswers_areCompleteAndEndTheirConnections)
{
    ClosingIntake intake;
    HttpServerSettings settings;
    settings.intake = &intake;
    const std::string address = serve(
        [](HttpExchange &exchange) -> boost::asio::awaitable<void> {
            if (exchange.request().target == "/stream") {
                HttpHeaders headers;
                headers.add("X-Peer", exchange.peer());
                (void)co_await exchange.beginStream(200, headers);
                (void)co_await exchange.write("first ");
                (void)co_await exchange.write("second");
                (void)co_await exchange.endStream();
            } else {
                co_await echo(exchange);
            }
        },
        settings);

    const auto whole = fetch(address, post("hello"));
    HttpRequest request;
    request.target = "/stream";
    const auto streamed = fetch(address, request);
    const auto next = fetch(address);

    ASSERT_TRUE(whole.ok() && streamed.ok() && next.ok());
    EXPECT_EQ(whole->body, "POST / hello");
    EXPECT_EQ(whole->headers.find("connection"), "close");
    EXPECT_EQ(streamed->body, "first second");
    EXPECT_EQ(streamed->headers.find("connection"), "close");
    EXPECT_NE(whole->headers.find("x-peer"), streamed->headers.find("x-peer"));
    EXPECT_NE(streamed->headers.find("x-peer"), next->headers.find("x-peer"));
}

// Guards against connections with many requests that all close at once: each is asked about once a second at most.
TEST_F(HttpServerTest, closesAfterAnswer_manyRequestsOnAConnection_isAskedOnceASecond)
{
    ClosingIntake intake;
    intake.isClosing = false;
    HttpServerSettings settings;
    settings.intake = &intake;
    const std::string address = serve(echo, settings);
    const auto begunAt = std::chrono::steady_clock::now();
    for (int n = 0; n < 20; ++n) {
        ASSERT_TRUE(fetch(address).ok());
    }
    const auto taken = std::chrono::steady_clock::now() - begunAt;

    EXPECT_GE(intake.asked, 1);
    EXPECT_LE(intake.asked, 1 + taken / std::chrono::seconds(1));
}

// Guards against a request that is read, or waits to be read, when its connection closes: its caller would not know
// whether it ran.
TEST_F(HttpServerTest, closesAfterAnswer_nextRequestAlreadySent_bothAreAnswered)
{
    ClosingIntake intake;
    HttpServerSettings settings;
    settings.intake = &intake;
    using Resume = std::function<void(bool)>;
    std::promise<Resume> started;
    HttpServer &server = start(
        [&started](HttpExchange &exchange) -> boost::asio::awaitable<void> {
            if (exchange.request().target == "/slow") {
                (void)co_await awaitCallback<bool>([&started](Resume resume) {
                    started.set_value(std::move(resume));
                });
            }
            co_await echo(exchange);
        },
        settings);
    const auto get = [](const std::string &target) {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
    };

    // Both in one piece: the second is read with the first.
    const std::string together = exchangeRaw(server.port(), get("/one") + get("/two"));
    EXPECT_NE(together.find("GET /one "), std::string::npos);
    EXPECT_NE(together.find("GET /two "), std::string::npos);

    // The second arrives while the first is served, and waits in the kernel.
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), server.port()});
    boost::asio::write(socket, boost::asio::buffer(get("/slow")));
    const Resume resume = started.get_future().get();
    boost::asio::write(socket, boost::asio::buffer(get("/next")));
    resume(true);
    socket.shutdown(boost::asio::socket_base::shutdown_send);
    std::string answers;
    boost::system::error_code ec;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answers), ec);
    EXPECT_NE(answers.find("GET /slow "), std::string::npos);
    EXPECT_NE(answers.find("GET /next "), std::string::npos);
}

/// A server with one worker, which also plays the caller: whatever the machine does, the order of things is that of the
/// test. A worker that waits in the play is one that is busy, with a large configuration say.
class LateHttpServerTest : public testing::Test
{
protected:
    using Work = boost::asio::awaitable<void>;

    static constexpr Duration kShort = std::chrono::milliseconds(50);
    /// More often than a server that is always late puts a deadline off.
    static constexpr int kManyTimes = 20;

    LateHttpServerTest()
        : m_socket(m_context)
        , m_workers(1)
    {
        settings.limits.readTimeout = kShort;
        settings.limits.idleTimeout = kShort;
        settings.drainGrace = kShort;
    }

    ~LateHttpServerTest() override
    {
        m_workers.stop();
    }

    HttpServer &server()
    {
        return *m_server;
    }

    void play(const std::function<Work()> &work)
    {
        m_server = std::make_unique<HttpServer>(m_workers, settings, handler);
        ASSERT_TRUE(m_server->listen("127.0.0.1", 0).ok());
        m_workers.start();
        boost::asio::co_spawn(m_workers.context(), work(), boost::asio::use_future).get();
    }

    Work connect()
    {
        m_socket.connect({boost::asio::ip::address_v4::loopback(), m_server->port()});
        co_await catchUp();
    }

    /// Returns when the server has done all that is ready for it.
    Work catchUp()
    {
        constexpr int kPolls = 30;
        for (int n = 0; n < kPolls; ++n) {
            co_await boost::asio::post(m_workers.context(), boost::asio::use_awaitable);
        }
    }

    Work send(std::string bytes)
    {
        sendNow(bytes);
        co_await catchUp();
    }

    /// The bytes come while the server is busy past all deadlines.
    Work sendToBusy(std::string bytes)
    {
        sendNow(bytes);
        waitPastDeadlines();
        co_await catchUp();
    }

    /// The same, but they come when the server has polled, and has the passed deadline next in its line.
    Work sendBehindPoll(std::string bytes)
    {
        boost::asio::steady_timer earlier(m_workers.context(), std::chrono::steady_clock::time_point());
        waitPastDeadlines();
        co_await earlier.async_wait(boost::asio::use_awaitable);
        sendNow(bytes);
        co_await catchUp();
    }

    /// The server is busy past all deadlines, and nothing comes.
    Work beBusy()
    {
        waitPastDeadlines();
        co_await catchUp();
    }

    /// A caller connects and sends, and the server is told to drain, all behind its poll.
    Work connectAndDrainBehindPoll(std::string bytes)
    {
        boost::asio::steady_timer earlier(m_workers.context(), std::chrono::steady_clock::time_point());
        co_await earlier.async_wait(boost::asio::use_awaitable);
        m_socket.connect({boost::asio::ip::address_v4::loopback(), m_server->port()});
        sendNow(bytes);
        m_server->drain();
        co_await catchUp();
    }

    /// Takes what of the answer is there, and nothing for longer than the server's deadlines. Gives the bytes taken.
    boost::asio::awaitable<std::size_t> takeSlowly()
    {
        constexpr std::size_t kAtOnce = 64 * 1024;
        std::string buf(kAtOnce, '\0');
        boost::system::error_code ec;
        std::size_t taken = 0;
        m_socket.non_blocking(true);
        while (!ec) {
            taken += m_socket.read_some(boost::asio::buffer(buf), ec);
        }
        co_await beBusy();
        co_return taken;
    }

    /// The next answer, or why there is none.
    std::string receive()
    {
        boost::beast::http::response<boost::beast::http::string_body> answer;
        boost::system::error_code ec;
        boost::beast::http::read(m_socket, m_received, answer, ec);
        return ec ? ec.message() : answer.body();
    }

    bool isClosed()
    {
        char c = 0;
        boost::system::error_code ec;
        m_socket.non_blocking(true);
        m_socket.receive(boost::asio::buffer(&c, 1), boost::asio::socket_base::message_peek, ec);
        m_socket.non_blocking(false);
        return ec && ec != boost::asio::error::would_block;
    }

    /// Whether the server has closed its side altogether, so that what the caller sends is refused.
    bool isReset()
    {
        tcp_info info{};
        socklen_t n = sizeof(info);
        ::getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &n);
        return info.tcpi_state == TCP_CLOSE;
    }

    HttpServerSettings settings;
    HttpServer::Handler handler = echo;

private:
    /// Returns when the server's kernel has the bytes, or takes none.
    void sendNow(const std::string &bytes)
    {
        boost::system::error_code ec;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ec);
        int waiting = 0;
        while (!ec && !isReset() && ::ioctl(m_socket.native_handle(), SIOCOUTQ, &waiting) == 0 && waiting > 0) {
            std::this_thread::yield();
        }
    }

    static void waitPastDeadlines()
    {
        std::promise<void> never;
        never.get_future().wait_for(2 * kShort);
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_received;
    WorkerPool m_workers;
    std::unique_ptr<HttpServer> m_server;
};

namespace
{

const std::string kSmall = "GET /small HTTP/1.1\r\nHost: h\r\n\r\n";

std::string headerOfUpload(std::size_t bytes)
{
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

}

TEST_F(LateHttpServerTest, requestUnderWay_restUnreadWhenItsTimeEnds_isAnswered)
{
    // A caller sends a request in parts, each as soon as it can. The server is busy again and again, past its own
    // deadlines, while they lie unread in its kernel. It was late and not the caller, who is owed an answer.
    const std::string part(20'000, 'a');

    play([&]() -> Work {
        co_await connect();
        co_await send(headerOfUpload(3 * part.size()));
        for (int n = 0; n < 3; ++n) {
            co_await sendToBusy(part);
        }
    });

    EXPECT_EQ(receive().size(), 3 * part.size() + std::string("POST / ").size());
}

TEST_F(LateHttpServerTest, requestUnderWay_partReadBehindItsTimeAndRestOnItsWay_isAnswered)
{
    // The server is busy past the end of a request's time, then reads what has come, and only then looks at the clock:
    // nothing is unread. The caller may have been held up with it, and sends the rest now.
    play([&]() -> Work {
        co_await connect();
        co_await send(headerOfUpload(4));
        for (int n = 0; n < 3; ++n) {
            co_await sendToBusy("a");
        }
        co_await send("b");
    });

    EXPECT_EQ(receive(), "POST / aaab");
}

TEST_F(LateHttpServerTest, idleConnection_requestUnreadWhenItsTimeEnds_isAnswered)
{
    // A server that is late notices the end of a connection's idle time when the next request lies in its kernel.
    play([&]() -> Work {
        co_await connect();
        co_await send(kSmall);
        co_await sendBehindPoll(kSmall);
    });

    EXPECT_EQ(receive(), "GET /small ");
    EXPECT_EQ(receive(), "GET /small ");
}

TEST_F(LateHttpServerTest, newConnection_requestUnreadWhenItsTimeEnds_isAnswered)
{
    play([&]() -> Work {
        co_await connect();
        co_await sendBehindPoll(kSmall);
    });

    EXPECT_EQ(receive(), "GET /small ");
}

TEST_F(LateHttpServerTest, drain_requestUnreadWhenTheGraceEnds_isAnswered)
{
    // The same while the server drains: the caller has not been told that the connection ends.
    settings.limits.idleTimeout = std::chrono::seconds(60);

    play([&]() -> Work {
        co_await connect();
        co_await send(kSmall);
        server().drain();
        co_await catchUp();
        co_await sendBehindPoll(kSmall);
    });

    EXPECT_EQ(receive(), "GET /small ");
    EXPECT_EQ(receive(), "GET /small ");
}

TEST_F(LateHttpServerTest, callerThatSendsByteByByte_toServerThatIsLateEachTime_isCutOff)
{
    // A caller that never ends its request must not keep its connection for as long as the server is late.
    int times = 0;

    play([&]() -> Work {
        co_await connect();
        co_await send(headerOfUpload(1000));
        while (!isClosed() && times < kManyTimes) {
            co_await sendToBusy("a");
            ++times;
        }
    });

    EXPECT_LT(times, kManyTimes);
}

TEST_F(LateHttpServerTest, callerThatSendsByteByByte_toServerThatReadsThemAsTheyCome_isCutOff)
{
    constexpr Duration kLong = std::chrono::seconds(30);
    const auto end = std::chrono::steady_clock::now() + kLong;

    play([&]() -> Work {
        co_await connect();
        co_await send(headerOfUpload(1'000'000));
        while (!isClosed() && std::chrono::steady_clock::now() < end) {
            co_await send("a");
        }
    });

    EXPECT_LT(std::chrono::steady_clock::now(), end);
}

TEST_F(LateHttpServerTest, idleConnection_nothingUnreadWhenItsTimeEnds_isClosed)
{
    play([&]() -> Work {
        co_await connect();
        co_await beBusy();
    });

    EXPECT_TRUE(isClosed());
}

TEST_F(LateHttpServerTest, limitsRaised_requestOnOpenConnection_goesByThem)
{
    // A caller learns of a higher limit and uses it on the connection that it has. It would get a refusal that is not
    // tried again, for a request that no configuration in force forbids.
    settings.limits.idleTimeout = std::chrono::seconds(60);
    settings.limits.maximumBodyBytes = 10;
    const std::string body(1000, 'a');

    play([&]() -> Work {
        co_await connect();
        server().setLimits(HttpServerLimits());
        co_await send(headerOfUpload(body.size()) + body);
    });

    EXPECT_EQ(receive(), "POST / " + body);
}

TEST_F(LateHttpServerTest, limitsLowered_requestOnItsWay_goesByThoseBefore)
{
    // A caller sends what the configuration allows, and this has changed before it arrives.
    settings.limits.idleTimeout = std::chrono::seconds(60);
    const std::string body(1000, 'a');
    HttpServerLimits lowered = settings.limits;
    lowered.maximumBodyBytes = 10;

    play([&]() -> Work {
        co_await connect();
        server().setLimits(lowered);
        co_await send(headerOfUpload(body.size()) + body);
        co_await send(headerOfUpload(body.size()) + body);
    });

    EXPECT_EQ(receive(), "POST / " + body);
    EXPECT_EQ(errorCodeOf(receive()), "body_too_large");
}

TEST_F(LateHttpServerTest, timeoutsLowered_requestUnderWay_keepsItsTime)
{
    // A caller is sending a request, at the pace that it was allowed, when a configuration comes that gives less time.
    // It can't know; cut off, it would have neither an answer nor a refusal.
    settings.limits.readTimeout = std::chrono::seconds(60);
    HttpServerLimits lowered = settings.limits;
    lowered.readTimeout = std::chrono::milliseconds(1);

    play([&]() -> Work {
        co_await connect();
        co_await send(headerOfUpload(1));
        server().setLimits(lowered);
        co_await beBusy();
        co_await beBusy();
        co_await send("a");
    });

    EXPECT_EQ(receive(), "POST / a");
}

TEST_F(LateHttpServerTest, timeoutsLowered_idleConnection_keepsItsTime)
{
    settings.limits.idleTimeout = std::chrono::seconds(60);
    HttpServerLimits lowered = settings.limits;
    lowered.idleTimeout = std::chrono::milliseconds(1);

    play([&]() -> Work {
        co_await connect();
        server().setLimits(lowered);
        co_await beBusy();
        co_await send(kSmall);
    });

    EXPECT_EQ(receive(), "GET /small ");
}

TEST_F(LateHttpServerTest, timeoutsRaised_idleConnection_getsTheLongerTime)
{
    HttpServerLimits raised = settings.limits;
    raised.idleTimeout = std::chrono::seconds(60);

    play([&]() -> Work {
        co_await connect();
        server().setLimits(raised);
        co_await beBusy();
        co_await send(kSmall);
    });

    EXPECT_EQ(receive(), "GET /small ");
}

TEST_F(LateHttpServerTest, refusedUpload_thatTakesLongerThanTheLinger_getsItsRefusal)
{
    // A caller sends all of a long request before it looks for an answer. If its connection is closed meanwhile, its
    // next bytes are answered by a reset, and it takes the request for lost.
    settings.limits.maximumBodyBytes = 10;
    settings.limits.readTimeout = std::chrono::seconds(60);
    settings.lingerTimeout = kShort;

    play([&]() -> Work {
        co_await connect();
        co_await send(headerOfUpload(1000));
        for (int n = 0; n < 3; ++n) {
            co_await sendToBusy("a");
        }
    });

    EXPECT_FALSE(isReset());
    EXPECT_EQ(errorCodeOf(receive()), "body_too_large");
}

TEST_F(LateHttpServerTest, refusedUpload_thatNeverEnds_isCutOff)
{
    int times = 0;
    settings.limits.maximumBodyBytes = 10;
    settings.lingerTimeout = kShort;

    play([&]() -> Work {
        co_await connect();
        co_await send(headerOfUpload(1000));
        while (!isReset() && times < kManyTimes) {
            co_await sendToBusy("a");
            ++times;
        }
    });

    EXPECT_LT(times, kManyTimes);
}

TEST_F(LateHttpServerTest, drain_connectionNotYetTaken_isAnswered)
{
    // A caller that a balancer has sent here connects and sends just before the server stops taking connections. Its
    // connection would be reset, with the request in it.
    play([&]() -> Work {
        co_await catchUp();
        co_await connectAndDrainBehindPoll(kSmall);
    });

    EXPECT_EQ(receive(), "GET /small ");
}

TEST_F(LateHttpServerTest, longAnswer_readerThatGoesOnTakingBytes_getsItWhole)
{
    // A reader is slow, yet takes bytes within each timeout. Its answer takes several timeouts in all.
    constexpr std::size_t kBytes = 32 * 1024 * 1024;
    settings.writeTimeout = kShort;
    settings.limits.idleTimeout = std::chrono::seconds(60);
    const std::string body(kBytes, 'a');
    std::size_t taken = 0;
    handler = [&body](HttpExchange &exchange) -> Work {
        HttpResponse response;
        response.body = body;
        (void)co_await exchange.respond(std::move(response));
    };

    play([&]() -> Work {
        co_await connect();
        co_await send(kSmall);
        std::size_t n = 1;
        while (n > 0 && taken < kBytes) {
            n = co_await takeSlowly();
            taken += n;
        }
    });

    EXPECT_GE(taken, kBytes);
}

// Guards against promised bytes of a caller that are waited for after its connection has ended.
TEST_F(HttpServerTest, connection_endedInsideAcceptedBody_isToldToTheIntake)
{
    ClosedIntake intake;
    intake.isClosed = false;
    HttpServerSettings settings;
    settings.intake = &intake;
    HttpServer &server = start(
        [](HttpExchange &) -> boost::asio::awaitable<void> {
            co_return;
        },
        settings);

    exchangeRaw(server.port(), "POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\nthe first bytes");

    EXPECT_EQ(intake.unreadBytes, 5000 - 15);
}

// Guards against a link whose use is not seen: each byte of heads, bodies and answers is counted, and those of a body
// apart whose length the head had told.
TEST_F(HttpServerTest, traffic_ofAnsweredRequests_isCounted)
{
    LinkTraffic traffic;
    HttpServerSettings settings;
    settings.traffic = &traffic;
    HttpServer &server = start(
        [](HttpExchange &exchange) -> boost::asio::awaitable<void> {
            (void)co_await exchange.beginStream(200, HttpHeaders());
            (void)co_await exchange.write("streamed");
            (void)co_await exchange.endStream();
        },
        settings);
    const std::string head = "POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 100000\r\n\r\n";

    const std::string answer = exchangeRaw(server.port(), head + std::string(100'000, 'x'));

    TrafficTotals expected;
    expected.in = static_cast<std::int64_t>(head.size()) + 100'000;
    expected.declaredIn = 100'000;
    expected.out = static_cast<std::int64_t>(answer.size());
    EXPECT_EQ(traffic.totals(), expected);

    const std::string chunked = "POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "3\r\nabc\r\n0\r\n\r\n";
    const std::string second = exchangeRaw(server.port(), chunked);

    expected.in += static_cast<std::int64_t>(chunked.size());
    expected.out += static_cast<std::int64_t>(second.size());
    EXPECT_EQ(traffic.totals(), expected);
}

// Guards against refused bodies that fill the link without being counted, or that count as awaited.
TEST_F(HttpServerTest, traffic_ofRefusedRequest_isCountedAsUndeclared)
{
    ClosedIntake intake;
    LinkTraffic traffic;
    HttpServerSettings settings;
    settings.intake = &intake;
    settings.traffic = &traffic;
    HttpServer &server = start(
        [](HttpExchange &) -> boost::asio::awaitable<void> {
            co_return;
        },
        settings);
    const std::string request =
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + std::string(100'000, 'x');

    const std::string answer = exchangeRaw(server.port(), request);
    // The answer ends before the rest of the body is read and dropped.
    while (server.openConnections() > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    TrafficTotals expected;
    expected.in = static_cast<std::int64_t>(request.size());
    expected.out = static_cast<std::int64_t>(answer.size());
    EXPECT_EQ(traffic.totals(), expected);
}
