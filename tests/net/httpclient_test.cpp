#include "base/failure.h"
#include "loopbackfixture.h"

#include <boost/asio/read_until.hpp>

#include <array>
#include <future>
#include <thread>

using namespace RadishSwitch;
using boost::asio::ip::tcp;

namespace
{

HttpRequest requestOf(const std::string &method)
{
    HttpRequest request;
    request.method = method;
    return request;
}

}

/// A server by hand, one connection after the other, for what a proper server never does.
class HttpClientTest : public LoopbackFixture
{
protected:
    /// What is done with a connection once its request was read.
    using Step = std::function<void(tcp::socket &)>;

    HttpClientTest()
        : m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0})
    {
    }

    ~HttpClientTest() override
    {
        // Wakes an accept that waits for a connection that never came.
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /// Accepts a connection for each step, and reads one request on it first.
    std::string acceptEach(std::vector<Step> steps)
    {
        m_thread = std::thread([this, steps = std::move(steps)] {
            for (const Step &step : steps) {
                tcp::socket socket(m_context);
                boost::system::error_code ec;
                m_acceptor.accept(socket, ec);
                if (ec) {
                    return;
                }
                readRequest(socket);
                step(socket);
            }
        });
        return address();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    static void readRequest(tcp::socket &socket)
    {
        std::string buf;
        boost::system::error_code ec;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(buf), "\r\n\r\n", ec);
    }

    static Step send(std::string bytes)
    {
        return [bytes = std::move(bytes)](tcp::socket &socket) {
            boost::asio::write(socket, boost::asio::buffer(bytes));
        };
    }

    /// Waits until the client gives the connection up.
    static void write(tcp::socket &socket, const std::string &bytes)
    {
        boost::system::error_code ec;
        boost::asio::write(socket, boost::asio::buffer(bytes), ec);
    }

    static void waitForEnd(tcp::socket &socket)
    {
        readRequest(socket);
    }

private:
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

TEST_F(HttpClientTest, connection_refused_isNotRun)
{
    std::string gone;
    {
        boost::asio::io_context context;
        const tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
        gone = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    const auto response = fetch(gone);

    EXPECT_EQ(failureCode(response.status()), FailureCode::ConnectionLost);
    EXPECT_EQ(outcomeOf(response.status()), RunOutcome::NotRun);
}

TEST_F(HttpClientTest, address_notAnIpNumber_isInvalidSettings)
{
    EXPECT_EQ(failureCode(fetch("localhost:80").status()), FailureCode::InvalidSettings);
}

TEST_F(HttpClientTest, server_closesWithoutAnswer_outcomeIsUnknown)
{
    // The server reads the request, does who knows what, and dies. The caller must not take that for "not run".
    const auto response = fetch(acceptEach({[](tcp::socket &) {}}), requestOf("POST"));

    EXPECT_EQ(failureCode(response.status()), FailureCode::ConnectionLost);
    EXPECT_EQ(outcomeOf(response.status()), RunOutcome::Unknown);
}

TEST_F(HttpClientTest, server_neverAnswers_isSilentWithUnknownOutcome)
{
    const auto response = fetch(acceptEach({waitForEnd}), requestOf("POST"), kShort);

    EXPECT_EQ(failureCode(response.status()), FailureCode::ConnectionSilent);
    EXPECT_EQ(outcomeOf(response.status()), RunOutcome::Unknown);
}

// A caller leaves while its endpoint is cut off. Bytes that the cut holds up would reach the endpoint when it heals,
// seconds later, and be run for nobody; they are dropped when the connection is reset, and not when it is closed.
TEST_F(HttpClientTest, callGivenUp_resetsItsConnection)
{
    std::promise<boost::system::error_code> ended;
    const auto waitAndTell = [&ended](tcp::socket &socket) {
        std::array<char, 1> buf{};
        boost::system::error_code ec;
        boost::asio::read(socket, boost::asio::buffer(buf), ec);
        ended.set_value(ec);
    };
    (void)fetch(acceptEach({waitAndTell}), requestOf("GET"), kShort);
    EXPECT_EQ(ended.get_future().get(), boost::asio::error::connection_reset);
}

// An endpoint that is done with a call must not take the end of its connection for a failure.
TEST_F(HttpClientTest, callAnswered_closesItsConnectionInOrder)
{
    std::promise<boost::system::error_code> ended;
    const auto answerAndTell = [&ended](tcp::socket &socket) {
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
        std::array<char, 1> buf{};
        boost::system::error_code ec;
        boost::asio::read(socket, boost::asio::buffer(buf), ec);
        ended.set_value(ec);
    };
    EXPECT_TRUE(fetch(acceptEach({answerAndTell}), requestOf("GET")).ok());
    EXPECT_EQ(ended.get_future().get(), boost::asio::error::eof);
}

TEST_F(HttpClientTest, server_answersNoHttp_isMalformed)
{
    const auto response = fetch(acceptEach({send("SSH-2.0-nothing here\r\n\r\n")}));

    EXPECT_EQ(failureCode(response.status()), FailureCode::MalformedMessage);
    EXPECT_EQ(outcomeOf(response.status()), RunOutcome::Unknown);
}

TEST_F(HttpClientTest, answer_shorterThanItsLength_isLostAndNotShortened)
{
    const auto response = fetch(acceptEach({send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")}));

    EXPECT_EQ(failureCode(response.status()), FailureCode::ConnectionLost);
}

TEST_F(HttpClientTest, answer_withoutLength_endsWithConnection)
{
    const auto response = fetch(acceptEach({send("HTTP/1.0 200 OK\r\n\r\nabc")}));

    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->body, "abc");
}

// Guards against bytes whose status no answer can have, taken for an answer of the store or of a probe.
TEST_F(HttpClientTest, server_answersWithStatusOfNoAnswer_isMalformedWithUnknownOutcome)
{
    const auto response = fetch(acceptEach({send("HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\n{}")}));

    EXPECT_EQ(failureCode(response.status()), FailureCode::MalformedMessage);
    EXPECT_EQ(outcomeOf(response.status()), RunOutcome::Unknown);
}

// Guards against the head that announces an answer, taken in its place, and the answer then for that of the next
// request.
TEST_F(HttpClientTest, interimHeadBeforeAnswer_eachRequestGetsItsOwnAnswer)
{
    const auto answerTwice = [](tcp::socket &socket) {
        write(socket, "HTTP/1.1 100 Continue\r\n\r\n");
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
        readRequest(socket);
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
    };
    const std::string address = acceptEach({answerTwice});
    for (const std::string body : {"first", "second"}) {
        const auto response = fetch(address);
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->status, 200);
        EXPECT_EQ(response->body, body);
    }
}

// Guards against a part of an answer that is taken for a whole one, since its connection was reset before the request
// had been read.
TEST_F(HttpClientTest, answerEndedByConnection_resetBeforeLongRequestIsRead_isLostWithUnknownOutcome)
{
    const auto answerPartAndReset = [](tcp::socket &socket) {
        write(socket, "HTTP/1.1 200 OK\r\n\r\npart");
        socket.set_option(boost::asio::socket_base::linger(true, 0));
        socket.close();
    };
    HttpRequest request = requestOf("POST");
    request.body = std::string(16 * 1024 * 1024, 'x');
    const auto response = fetch(acceptEach({answerPartAndReset}), request);
    EXPECT_EQ(failureCode(response.status()), FailureCode::ConnectionLost);
    EXPECT_EQ(outcomeOf(response.status()), RunOutcome::Unknown);
}

class IdleConnectionTest : public HttpClientTest
{
protected:
    static constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";

    /// Answers once, and closes when the next request is there, unanswered: what a server does that closes an idle
    /// connection while a request is on its way to it.
    static void answerOnceThenClose(tcp::socket &socket)
    {
        send(kAnswer)(socket);
        readRequest(socket);
    }
};

TEST_F(IdleConnectionTest, closedUnderSafeRequest_isReplacedWithoutCallerNoticing)
{
    const std::string address = acceptEach({answerOnceThenClose, send(kAnswer)});
    ASSERT_TRUE(fetch(address).ok());

    EXPECT_TRUE(fetch(address, requestOf("GET")).ok());
}

TEST_F(IdleConnectionTest, closedUnderUnsafeRequest_isNeverSentAgain)
{
    // A second POST could run twice what the server took before it closed: the caller gets "unknown" and decides.
    const std::string address = acceptEach({answerOnceThenClose});
    ASSERT_TRUE(fetch(address).ok());

    const auto response = fetch(address, requestOf("POST"));

    EXPECT_EQ(failureCode(response.status()), FailureCode::ConnectionLost);
    EXPECT_EQ(outcomeOf(response.status()), RunOutcome::Unknown);
}

TEST_F(IdleConnectionTest, oneFallsSilent_othersAreNotTriedAfterIt)
{
    // Something on the way has lost track of all open connections: they stay open and swallow what is sent, while new
    // ones work. One request pays for that with its timeout; the next must not pay for each idle connection again.
    std::vector<tcp::socket> kept;
    const auto keep = [&kept](tcp::socket &socket) {
        kept.push_back(std::move(socket));
    };
    const auto keepAndAnswerAll = [&kept](tcp::socket &socket) {
        kept.push_back(std::move(socket));
        for (tcp::socket &one : kept) {
            send(kAnswer)(one);
        }
    };
    const std::string address = acceptEach({keep, keepAndAnswerAll, send(kAnswer)});
    const auto fetchLater = [&] {
        return boost::asio::co_spawn(workers.context(), client.fetch(address, {}, kLong), boost::asio::use_future);
    };
    auto first = fetchLater();
    auto second = fetchLater();
    ASSERT_TRUE(first.get().ok());
    ASSERT_TRUE(second.get().ok());

    EXPECT_EQ(failureCode(fetch(address, {}, kShort).status()), FailureCode::ConnectionSilent);
    EXPECT_TRUE(fetch(address).ok());
}

TEST_F(HttpClientTest, stream_fallsSilent_readTimesOutAndTellsSo)
{
    const std::string address = acceptEach({[](tcp::socket &socket) {
        send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")(socket);
        waitForEnd(socket);
    }});

    const auto stream = wait(client.open(address, {}, kLong));
    ASSERT_TRUE(stream.ok()) << stream.status();
    const auto first = wait((*stream)->read(kLong));
    const auto second = wait((*stream)->read(kShort));

    ASSERT_TRUE(first.ok()) << first.status();
    EXPECT_EQ(*first, "abc");
    EXPECT_EQ(failureCode(second.status()), FailureCode::ConnectionSilent);
}

TEST_F(HttpClientTest, stream_cancelled_pendingReadFailsAtOnce)
{
    const std::string address = acceptEach({[](tcp::socket &socket) {
        send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")(socket);
        waitForEnd(socket);
    }});
    const auto stream = wait(client.open(address, {}, kLong));
    ASSERT_TRUE(stream.ok()) << stream.status();
    auto read = boost::asio::co_spawn(workers.context(), (*stream)->read(kLong), boost::asio::use_future);

    (*stream)->cancel();

    EXPECT_EQ(failureCode(read.get().status()), FailureCode::ConnectionLost);
}

// Something on the way has lost track of idle connections. A client that uses only fresh ones never meets one of them.
TEST_F(HttpClientTest, fetch_bodyGoesOnArriving_outlastsTheTimeoutOfItsHead)
{
    // An instance with a narrow link reads a large list. All of it takes longer than the store may be silent; given up
    // each time, the list would never be read.
    constexpr int kPieces = 8;
    const std::string address = acceptEach({[](tcp::socket &socket) {
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n");
        for (int n = 0; n < kPieces; ++n) {
            std::this_thread::sleep_for(kShort);
            write(socket, "x");
        }
    }});

    const auto response = wait(client.fetch(address, {}, 3 * kShort, kLong));

    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->body.size(), 8u);
}

TEST_F(HttpClientTest, fetch_bodyStopsArriving_failsAsSilent)
{
    const std::string address = acceptEach({[](tcp::socket &socket) {
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nx");
        char c = 0;
        boost::system::error_code ec;
        socket.read_some(boost::asio::buffer(&c, 1), ec);
    }});

    const auto response = wait(client.fetch(address, {}, kShort, kLong));

    EXPECT_EQ(failureCode(response.status()), FailureCode::ConnectionSilent);
}

TEST_F(HttpClientTest, fetch_queueOfNewConnectionsIsFull_triesAgainAndIsServedOnceThereIsRoom)
{
    // Many instances start at once and the store's queue of new connections overflows: what does not fit is dropped
    // without a word, and the kernel asks again after a second only. The call's whole time is less than that.
    boost::asio::io_context context;
    tcp::acceptor acceptor(context);
    acceptor.open(tcp::v4());
    acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    acceptor.listen(0);
    tcp::socket filler(context);
    filler.connect(acceptor.local_endpoint());
    std::thread server([&acceptor, &context] {
        std::this_thread::sleep_for(4 * kShort);
        tcp::socket first = acceptor.accept();
        tcp::socket second = acceptor.accept();
        readRequest(second);
        write(second, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });

    HttpClient impatient(workers, kShort);
    const auto response = wait(impatient.fetch("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), {},
                                               std::chrono::milliseconds(900)));

    EXPECT_TRUE(response.ok()) << response.status();
    // Where the call has failed, nobody asks the server any more.
    filler.close();
    tcp::socket last(context);
    boost::system::error_code ec;
    if (!response.ok()) {
        last.connect(acceptor.local_endpoint(), ec);
        write(last, "GET / HTTP/1.1\r\n\r\n");
    }
    server.join();
}

TEST_F(HttpClientTest, connectionIdleForLongerThanItsTimeout_isNotUsedAgain)
{
    std::vector<std::string> peers;
    const std::string address = serve([&peers](HttpExchange &exchange) -> boost::asio::awaitable<void> {
        peers.push_back(exchange.peer());
        HttpResponse response;
        co_await exchange.respond(std::move(response));
    });
    HttpClient keeping(workers);
    HttpClient forgetting(workers, std::chrono::seconds(1), SilenceLimits(), Duration::zero());
    for (int n = 0; n < 2; ++n) {
        ASSERT_TRUE(wait(keeping.fetch(address, HttpRequest(), kLong)).ok());
    }
    for (int n = 0; n < 2; ++n) {
        ASSERT_TRUE(wait(forgetting.fetch(address, HttpRequest(), kLong)).ok());
    }
    ASSERT_EQ(peers.size(), 4U);
    EXPECT_EQ(peers[0], peers[1]);
    EXPECT_NE(peers[2], peers[3]);
}
