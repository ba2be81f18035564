#pragma once

#include "childprocess.h"
#include "rawendpoint.h"
#include "soakplatform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <limits>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace RadishSwitch
{

/// What a caller saw of its call.
struct SeenAnswer {
    int status = 0;
    /// Head and body as they came.
    std::string text;
    /// It ended as its head announces.
    bool isComplete = false;
    std::chrono::milliseconds taken{};

    std::string body() const;
    bool isSuccess() const
    {
        return isComplete && status >= 200 && status < 300;
    }
};

/// How a caller calls.
struct CallerOptions {
    std::string body = "hello";
    /// What it states; shorter than the timeout of the routes.
    std::chrono::milliseconds timeout{3000};
    /// When it gives up, whatever it has stated.
    std::chrono::seconds patience{6};
    /// How much of an answer it keeps.
    std::size_t keptBytes = std::numeric_limits<std::size_t>::max();
    std::string version = "1.1";
    bool keepsConnection = false;
};

/// A port on loopback that nobody else gets while this stands, but for a process that is told to listen there.
class ReservedPort
{
public:
    ReservedPort();

    int number() const;

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_holder;
};

/// A caller's connection, by hand.
class CallerConnection
{
public:
    explicit CallerConnection(int port);

    /// Sends a request and reads until its answer has ended as its head announces, or the connection has ended.
    SeenAnswer call(const std::string &request, const CallerOptions &options = {});

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
};

/// A gateway and the store as processes of their own, and two endpoints that answer with bytes as the test gives them.
class RawEndpointFixture : public testing::Test
{
protected:
    using Clock = std::chrono::steady_clock;

    static constexpr std::chrono::seconds kPatience{20};

    /// Gives the answer to a call by its id, which is empty for a question that is no call.
    using AnswerToCall = RawAnswer (*)(const std::string &call);

    /// `name` is that of the folder of the logs; `answerToCall` answers the calls that have no answer of their own. A
    /// planned stop of the gateway takes `drainTimeout` at most.
    explicit RawEndpointFixture(const std::string &name, AnswerToCall answerToCall = properAnswer,
                                std::chrono::seconds drainTimeout = std::chrono::seconds(1));
    ~RawEndpointFixture() override;

    template<typename Condition>
    static bool waitUntil(Condition condition)
    {
        constexpr std::chrono::milliseconds kPause(10);
        const auto end = Clock::now() + kPatience;
        while (!condition()) {
            if (Clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(kPause);
        }
        return true;
    }

    /// How endpoints answer a call: one answer for each time that they are asked, the last one also from then on.
    void setAnswers(const std::string &call, std::vector<RawAnswer> answers);
    /// How many times endpoints were asked for a call.
    int asked(const std::string &call);

    /// The first lines of an answer to a call.
    static std::string firstLines(const std::string &statusLine, const std::string &call);
    /// A whole answer to a call of any route: "ok".
    static RawAnswer properAnswer(const std::string &call);

    static std::string requestOf(const std::string &target, const std::string &id, const CallerOptions &options = {});
    /// Calls on a connection that ends with the answer.
    SeenAnswer call(const std::string &target, const std::string &id, const CallerOptions &options = {}) const;
    std::string metrics() const;

private:
    RawAnswer answerTo(const std::string &call);

    const AnswerToCall m_answerToCall;
    std::mutex m_mutex;
    std::map<std::string, std::vector<RawAnswer>> m_answers;
    std::map<std::string, int> m_asked;
    const ReservedPort m_storePort;
    const ReservedPort m_gatewayPort;
    const ReservedPort m_adminPort;

protected:
    const int storePort;
    const int gatewayPort;
    const int adminPort;
    const std::string folder;
    RawEndpoint first;
    RawEndpoint second;
    ChildProcess store;
    ChildProcess gateway;
};

}
