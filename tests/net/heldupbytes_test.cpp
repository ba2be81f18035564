#include "base/failure.h"
#include "httpconnection.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

#include <thread>

using namespace RadishSwitch;

/// An endpoint on loopback whose kernel does not acknowledge what it is sent, until it has room again: its queue of
/// connections is full, and those that wait before it count as made for the other side.
class HeldUpBytesTest : public testing::Test
{
protected:
    static constexpr Duration kHeldUp = std::chrono::milliseconds(600);
    /// Longer than the kernel waits before it sends again what was not acknowledged in the second before.
    static constexpr Duration kLateArrival = std::chrono::seconds(4);
    static constexpr Duration kLong = std::chrono::seconds(30);

    HeldUpBytesTest()
        : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
        , m_filler(::socket(AF_INET, SOCK_STREAM, 0))
        , workers(1)
    {
        const int deferSeconds = 60;
        EXPECT_EQ(::setsockopt(m_listener, IPPROTO_TCP, TCP_DEFER_ACCEPT, &deferSeconds, sizeof deferSeconds), 0);
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t n = sizeof m_address;
        EXPECT_EQ(::bind(m_listener, address(), n), 0);
        EXPECT_EQ(::listen(m_listener, 0), 0);
        EXPECT_EQ(::getsockname(m_listener, address(), &n), 0);
        workers.start();
    }

    ~HeldUpBytesTest() override
    {
        workers.stop();
        for (const int fd : {m_listener, m_filler, m_accepted}) {
            ::close(fd);
        }
    }

    /// Sends a request whose bytes the endpoint's kernel does not take, and gives how it ended.
    absl::Status sendIntoTheCut(const SilenceLimits &limits, Duration patience)
    {
        const std::string target = "127.0.0.1:" + std::to_string(ntohs(m_address.sin_port));
        connection = std::make_shared<HttpConnection>(workers, target, limits);
        EXPECT_TRUE(wait(connection->connect(kLong)).ok());
        EXPECT_EQ(::connect(m_filler, address(), sizeof m_address), 0);
        EXPECT_EQ(::send(m_filler, "x", 1, 0), 1);
        workers.post([this] {
            connection->startSending(HttpRequest());
        });
        return wait(head(patience));
    }

    /// The endpoint has room again. Whether the request arrives there after all.
    bool arrivesWhenTheCutHeals()
    {
        m_accepted = ::accept(m_listener, nullptr, nullptr);
        pollfd poll{m_listener, POLLIN, 0};
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(kLateArrival).count();
        return ::poll(&poll, 1, static_cast<int>(milliseconds)) == 1;
    }

    std::shared_ptr<HttpConnection> connection;

private:
    sockaddr *address()
    {
        return reinterpret_cast<sockaddr *>(&m_address);
    }

    template<typename Result>
    Result wait(boost::asio::awaitable<Result> work)
    {
        return boost::asio::co_spawn(workers.context(), std::move(work), boost::asio::use_future).get();
    }

    boost::asio::awaitable<absl::Status> head(Duration patience)
    {
        connection->expireAfter(patience, AtExpiry::Pause, kLong);
        co_return co_await connection->receiveHead(true);
    }

    sockaddr_in m_address{};
    int m_listener;
    int m_filler;
    int m_accepted = -1;

protected:
    WorkerPool workers;
};

// Guards against a request that reaches an endpoint seconds after it was given up.
TEST_F(HeldUpBytesTest, requestThatIsHeldUp_isDroppedAndDoesNotArriveLater)
{
    SilenceLimits limits;
    limits.heldUpRequest = kHeldUp;
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(outcomeOf(sendIntoTheCut(limits, kLong)), RunOutcome::Unknown);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 3 * kHeldUp);
    EXPECT_TRUE(connection->wasHeldUp());
    EXPECT_FALSE(arrivesWhenTheCutHeals());
}

// Shows that the endpoint of these tests holds bytes up: where they are not dropped, they arrive.
TEST_F(HeldUpBytesTest, requestThatIsWaitedFor_arrivesWhenTheCutHeals)
{
    EXPECT_EQ(failureCode(sendIntoTheCut(SilenceLimits(), kHeldUp / 10)), FailureCode::ConnectionSilent);
    EXPECT_TRUE(arrivesWhenTheCutHeals());
}
