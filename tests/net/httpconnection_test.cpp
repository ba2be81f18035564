#include "base/failure.h"
#include "httpconnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace RadishSwitch;
using boost::asio::ip::tcp;

/// A connection on a worker of its own, to an endpoint that the test plays by hand.
class HttpConnectionTest : public testing::Test
{
protected:
    /// For what is meant to time out, and longer than anything takes that is meant to end.
    static constexpr Duration kShort = std::chrono::milliseconds(40);
    static constexpr Duration kLong = std::chrono::seconds(30);
    static constexpr std::size_t kMoreThanFitsOnTheWay = 16 * 1024 * 1024;

    HttpConnectionTest()
        : m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0})
        , m_endpoint(m_context)
        , workers(1)
    {
        workers.start();
        connection = connectionWith(SilenceLimits());
    }

    ~HttpConnectionTest() override
    {
        workers.stop();
    }

    std::shared_ptr<HttpConnection> connectionWith(const SilenceLimits &limits, LinkTraffic *traffic = nullptr)
    {
        return std::make_shared<HttpConnection>(
            workers, "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()), limits, traffic);
    }

    void accept()
    {
        m_endpoint = tcp::socket(m_context);
        m_acceptor.accept(m_endpoint);
    }

    /// Sends a request, which the endpoint reads whole.
    void sendRequest()
    {
        ASSERT_TRUE(wait(connection->connect(kLong)).ok());
        workers.post([this] {
            connection->startSending(HttpRequest());
        });
        accept();
        boost::asio::streambuf request;
        boost::asio::read_until(m_endpoint, request, "\r\n\r\n");
    }

    /// Sends a request that is larger than what fits on the way. The endpoint reads nothing of it.
    void sendLongRequest()
    {
        HttpRequest request;
        request.method = "POST";
        request.body = std::string(kMoreThanFitsOnTheWay, 'x');
        ASSERT_TRUE(wait(connection->connect(kLong)).ok());
        workers.post([this, request] {
            connection->startSending(request);
        });
        accept();
    }

    void say(const std::string &bytes)
    {
        boost::asio::write(m_endpoint, boost::asio::buffer(bytes));
    }

    /// The endpoint resets the connection.
    void reset()
    {
        m_endpoint.set_option(boost::asio::socket_base::linger(true, 0));
        m_endpoint.close();
    }

    /// The endpoint ends its own way in good order, and reads on.
    void endOwnWay()
    {
        m_endpoint.shutdown(tcp::socket::shutdown_send);
    }

    /// Returns once the worker has done all that was begun before.
    void settle()
    {
        std::promise<void> done;
        workers.post([&done] {
            done.set_value();
        });
        done.get_future().wait();
    }

    /// The failure of an answer to a request that was read whole.
    absl::Status statusOfAnswer(const std::string &bytes)
    {
        sendRequest();
        say(bytes);
        return wait(wholeAnswer());
    }

    /// Sends bytes again and again, until the other side closes or this is enough.
    void sayWithoutEnd(const std::string &bytes)
    {
        constexpr std::size_t kEnough = 8 * 1024 * 1024;
        boost::system::error_code ec;
        for (std::size_t n = 0; n < kEnough && !ec; n += bytes.size()) {
            boost::asio::write(m_endpoint, boost::asio::buffer(bytes), ec);
        }
    }

    /// What becomes of a whole answer that begins as given and whose end never comes.
    absl::Status receiveWithoutEnd(const std::string &beginning, const std::string &repeated)
    {
        sendRequest();
        std::thread endpoint([&] {
            say(beginning);
            sayWithoutEnd(repeated);
        });
        absl::Status status = wait(wholeAnswer());
        workers.post([this] {
            connection->close();
        });
        endpoint.join();
        return status;
    }

    boost::asio::awaitable<absl::Status> wholeAnswer()
    {
        connection->expireAfter(std::chrono::seconds(2));
        absl::Status status = co_await connection->receiveHead(true);
        if (status.ok()) {
            status = (co_await connection->receiveAll()).status();
        }
        co_return status;
    }

    absl::Status receiveHead(Duration timeout)
    {
        return wait(head(timeout));
    }

    absl::StatusOr<std::string> receiveSome(Duration timeout)
    {
        return wait(connection->receiveSome(timeout, AtExpiry::Pause));
    }

    boost::asio::awaitable<absl::Status> head(Duration timeout)
    {
        connection->expireAfter(timeout, AtExpiry::Pause);
        co_return co_await connection->receiveHead(true);
    }

    /// Until the connection is closed, whatever pauses there are.
    boost::asio::awaitable<absl::Status> headWithin(Duration longest)
    {
        connection->expireAfter(kShort, AtExpiry::Pause, longest);
        co_return co_await connection->receiveHead(true);
    }

    template<typename T>
    std::future<T> begin(boost::asio::awaitable<T> work)
    {
        return boost::asio::co_spawn(workers.context(), std::move(work), boost::asio::use_future);
    }

    template<typename T>
    T wait(boost::asio::awaitable<T> work)
    {
        return begin(std::move(work)).get();
    }

private:
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    tcp::socket m_endpoint;

protected:
    WorkerPool workers;
    std::shared_ptr<HttpConnection> connection;
};

// An endpoint is silent before its answer, in the middle of the answer's head, and in the middle of a stream. Each wait
// that is over says so and leaves the connection open; what comes afterwards is read as if there had been no pause.
TEST_F(HttpConnectionTest, waitOver_pausesAndGoesOnWhereItWas)
{
    sendRequest();
    EXPECT_EQ(failureCode(receiveHead(kShort)), FailureCode::ConnectionSilent);
    EXPECT_TRUE(connection->isOpen());
    say("HTTP/1.1 200 OK\r\nTransfer-Enc");
    EXPECT_EQ(failureCode(receiveHead(kShort)), FailureCode::ConnectionSilent);
    EXPECT_TRUE(connection->isOpen());
    say("oding: chunked\r\n\r\n2\r\nab\r\n");
    ASSERT_TRUE(receiveHead(kLong).ok());
    EXPECT_EQ(connection->status(), 200);
    EXPECT_EQ(receiveSome(kLong).value_or("nothing"), "ab");
    EXPECT_EQ(failureCode(receiveSome(kShort).status()), FailureCode::ConnectionSilent);
    EXPECT_TRUE(connection->isOpen());
    say("2\r\ncd\r\n0\r\n\r\n");
    EXPECT_EQ(receiveSome(kLong).value_or("nothing"), "cd");
    EXPECT_EQ(receiveSome(kLong).value_or("nothing"), "");
    EXPECT_TRUE(connection->isKeptAlive());
}

// A process reads a large configuration while an answer comes in. The wait for the answer is over by the time that it
// looks again, and the answer lies there unread: it was late itself, and the endpoint was not. The connection was
// closed all the same, since the deadline was looked at before the bytes; now what has arrived is read first.
TEST_F(HttpConnectionTest, answerArrivedWhileProcessWasBusy_isReadAndNotTakenForSilence)
{
    sendRequest();
    std::promise<void> deadlinePassed;
    std::promise<void> arrived;
    std::future<absl::Status> answer = begin(head(kShort));
    // Two tasks, so that the worker notices the deadline between them, and the answer comes behind that.
    workers.post([&] {
        const auto end = std::chrono::steady_clock::now() + 2 * kShort;
        while (std::chrono::steady_clock::now() < end) { }
        workers.post([&] {
            deadlinePassed.set_value();
            arrived.get_future().wait();
        });
    });
    deadlinePassed.get_future().wait();
    say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    arrived.set_value();
    EXPECT_TRUE(answer.get().ok());
}

TEST_F(HttpConnectionTest, bytesUnread_areSeenWithoutReadingThem)
{
    sendRequest();
    EXPECT_FALSE(connection->hasUnread());
    say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    const auto end = std::chrono::steady_clock::now() + kLong;
    while (!connection->hasUnread()) {
        ASSERT_LT(std::chrono::steady_clock::now(), end) << "nothing arrived";
    }
    EXPECT_TRUE(receiveHead(kLong).ok());
}

// Guards against resetting the connection of an endpoint that has not read a long request yet: what it has no room for
// is not held up.
TEST_F(HttpConnectionTest, endpointThatReadsLate_keepsItsConnection)
{
    constexpr Duration kPatience = 10 * kShort;
    SilenceLimits limits;
    limits.heldUpRequest = kShort;
    connection = connectionWith(limits);
    sendLongRequest();

    const auto askedAt = HttpConnection::Clock::now();
    EXPECT_FALSE(wait(headWithin(kPatience)).ok());

    EXPECT_GE(HttpConnection::Clock::now() - askedAt, kPatience);
}

// Guards against a link whose use is not seen: the bytes of requests, heads and answers are counted, each once.
TEST_F(HttpConnectionTest, traffic_ofAnsweredRequest_isCounted)
{
    LinkTraffic traffic;
    connection = connectionWith(SilenceLimits(), &traffic);
    sendRequest();
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
    say(head + "first");
    ASSERT_TRUE(receiveHead(kLong).ok());
    EXPECT_EQ(*receiveSome(kLong), "first");
    say("other");
    EXPECT_EQ(*receiveSome(kLong), "other");

    EXPECT_EQ(traffic.totals().in, static_cast<std::int64_t>(head.size()) + 10);
    // The request is "GET / HTTP/1.1" with the header Host.
    EXPECT_EQ(traffic.totals().out, 16 + 6 + static_cast<std::int64_t>(connection->address().size()) + 2 + 2);
    EXPECT_EQ(traffic.totals().declaredIn, 0);
}

// Guards against endpoints in trouble whose bytes never become a part of the answer: what can't be parsed is kept in
// memory, and without a bound it grows for as long as they send.
TEST_F(HttpConnectionTest, headWithoutEnd_isTooLarge)
{
    EXPECT_EQ(failureCode(receiveWithoutEnd("HTTP/1.1 200 OK\r\nX-Filler: ", std::string(4096, 'a'))),
              FailureCode::MessageTooLarge);
}

TEST_F(HttpConnectionTest, fieldsWithoutEnd_areTooLarge)
{
    EXPECT_EQ(failureCode(receiveWithoutEnd("HTTP/1.1 200 OK\r\n", "X-Filler: a\r\n")), FailureCode::MessageTooLarge);
}

TEST_F(HttpConnectionTest, chunkSizeWithoutEnd_isTooLarge)
{
    EXPECT_EQ(
        failureCode(receiveWithoutEnd("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", std::string(4096, '0'))),
        FailureCode::MessageTooLarge);
}

TEST_F(HttpConnectionTest, chunkExtensionWithoutEnd_isTooLargeWithUnknownOutcome)
{
    const absl::Status status =
        receiveWithoutEnd("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n5;", std::string(4096, 'a'));
    EXPECT_EQ(failureCode(status), FailureCode::MessageTooLarge);
    EXPECT_EQ(outcomeOf(status), RunOutcome::Unknown);
}

TEST_F(HttpConnectionTest, trailerWithoutEnd_isTooLarge)
{
    EXPECT_EQ(
        failureCode(receiveWithoutEnd("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-Filler: ",
                                      std::string(4096, 'a'))),
        FailureCode::MessageTooLarge);
}

// Guards against bytes whose status no answer can have, passed on as an answer.
TEST_F(HttpConnectionTest, answer_statusIsOfNoAnswer_isMalformedWithUnknownOutcome)
{
    for (const std::string code : {"000", "001", "099", "101", "600", "999"}) {
        connection = connectionWith(SilenceLimits());
        const absl::Status status = statusOfAnswer("HTTP/1.1 " + code + " Odd\r\nContent-Length: 2\r\n\r\nok");
        EXPECT_EQ(failureCode(status), FailureCode::MalformedMessage) << code;
        EXPECT_EQ(outcomeOf(status), RunOutcome::Unknown) << code;
    }
}

// Guards against heads that announce an answer, passed on in its place.
TEST_F(HttpConnectionTest, answer_interimHeadsComeFirst_isTheFinalOne)
{
    sendRequest();
    say("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 2");
    EXPECT_EQ(failureCode(receiveHead(kShort)), FailureCode::ConnectionSilent);
    EXPECT_TRUE(connection->hasHeard());
    say("00 OK\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(receiveHead(kLong).ok());
    EXPECT_EQ(connection->status(), 200);
    EXPECT_EQ(receiveSome(kLong).value_or("nothing"), "ok");
    EXPECT_EQ(receiveSome(kLong).value_or("nothing"), "");
    EXPECT_TRUE(connection->isKeptAlive());
}

TEST_F(HttpConnectionTest, interimHeadsWithoutEnd_areTooMany)
{
    EXPECT_EQ(failureCode(receiveWithoutEnd("", "HTTP/1.1 100 Continue\r\n\r\n")), FailureCode::MessageTooLarge);
}

// Guards against lines that are no fields, passed on, or left out so that the body ends elsewhere.
TEST_F(HttpConnectionTest, head_lineIsNoField_isMalformed)
{
    using namespace std::string_literals;
    const std::vector<std::string> lines{
        "X Odd: a",
        "X-Odd : a",
        "X-Odd\t: a",
        " X-Odd: a",
        "X-\001Odd: a",
        "X\177: a",
        "X-Odd\0: a"s,
        "X\rOdd: a",
        ": a",
        "X-Odd",
        "X-Odd: \0"s,
        "X-Odd: a\001b",
        "X-Odd: a\rb",
        "X-Odd: a\nX-Other: b",
        "Content-Length : 5",
        "Content Length: 5",
        "Transfer-Encoding : chunked",
    };
    for (const std::string &line : lines) {
        connection = connectionWith(SilenceLimits());
        const absl::Status status = statusOfAnswer("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok");
        EXPECT_EQ(failureCode(status), FailureCode::MalformedMessage) << line;
    }
}

// Guards against a field whose name begins with a blank, taken for a part of the field before it.
TEST_F(HttpConnectionTest, head_nameBeginsWithBlank_isMalformed)
{
    for (const std::string blank : {" ", "\t", "  "}) {
        connection = connectionWith(SilenceLimits());
        const absl::Status status =
            statusOfAnswer("HTTP/1.1 200 OK\r\nX-One: a\r\n" + blank + "X-Two: b\r\nContent-Length: 2\r\n\r\nok");
        EXPECT_EQ(failureCode(status), FailureCode::MalformedMessage) << blank.size();
    }
}

// Guards against a body that is passed on in a transfer coding that nobody undoes.
TEST_F(HttpConnectionTest, head_transferCodingIsNotChunkedAlone_isMalformed)
{
    const std::vector<std::string> heads{
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: \r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 2\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
    };
    for (const std::string &it : heads) {
        connection = connectionWith(SilenceLimits());
        EXPECT_EQ(failureCode(statusOfAnswer(it + "\r\n2\r\nok\r\n0\r\n\r\n")), FailureCode::MalformedMessage) << it;
    }
}

// Guards against what comes behind a body in chunks, taken for a part of the head.
TEST_F(HttpConnectionTest, trailer_isNoPartOfTheHead)
{
    sendRequest();
    say("HTTP/1.1 200 OK\r\nX-Place: head\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nok\r\n0\r\nX-Place: trailer\r\nX-Late: 1\r\n\r\n");
    ASSERT_TRUE(wait(wholeAnswer()).ok());
    const HttpHeaders headers{{"X-Place", "head"}, {"Transfer-Encoding", "chunked"}};
    EXPECT_EQ(connection->headers(), headers);
}

// Guards against an answer without a length that is taken for whole though its connection was reset while the request
// was being written: the writing notices the reset, and the reading sees an end.
TEST_F(HttpConnectionTest, answerEndedByConnection_resetWhileRequestIsWritten_isLost)
{
    sendLongRequest();
    say("HTTP/1.1 200 OK\r\n\r\nfirst half");
    std::future<absl::Status> answer = begin(wholeAnswer());
    settle();
    reset();
    const absl::Status status = answer.get();
    EXPECT_EQ(failureCode(status), FailureCode::ConnectionLost) << status;
    EXPECT_EQ(outcomeOf(status), RunOutcome::Unknown);
}

TEST_F(HttpConnectionTest, streamEndedByConnection_resetWhileRequestIsWritten_isLost)
{
    sendLongRequest();
    say("HTTP/1.1 200 OK\r\n\r\nfirst half");
    ASSERT_TRUE(receiveHead(kLong).ok());
    EXPECT_EQ(receiveSome(kLong).value_or("nothing"), "first half");
    auto rest = begin(connection->receiveSome(kLong));
    settle();
    reset();
    EXPECT_EQ(failureCode(rest.get().status()), FailureCode::ConnectionLost);
}

// Guards against the same where a look for unread bytes notices the reset.
TEST_F(HttpConnectionTest, streamEndedByConnection_resetSeenByLookForBytes_isLost)
{
    sendRequest();
    say("HTTP/1.1 200 OK\r\n\r\nfirst half");
    ASSERT_TRUE(receiveHead(kLong).ok());
    EXPECT_EQ(receiveSome(kLong).value_or("nothing"), "first half");
    reset();
    EXPECT_FALSE(connection->hasUnread());
    EXPECT_EQ(failureCode(receiveSome(kLong).status()), FailureCode::ConnectionLost);
}

// Guards against the opposite: an answer that ended in order before its endpoint had read the whole request.
TEST_F(HttpConnectionTest, answerEndedByConnection_endedInOrderWhileRequestIsWritten_isWhole)
{
    sendLongRequest();
    say("HTTP/1.1 200 OK\r\n\r\nwhole");
    endOwnWay();
    EXPECT_TRUE(wait(wholeAnswer()).ok());
}
