#include "names.h"
#include "replicaserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

using namespace RadishSwitch;

namespace net = boost::asio;

/// What the stand-in of an endpoint puts on the wire; the soak's kills and cuts prove nothing if it ends otherwise.
class ReplicaServerTest : public testing::Test
{
protected:
    ReplicaServerTest()
        : workers(1)
        , server(workers, ReplicaSettings())
    {
        EXPECT_TRUE(server.listen("127.0.0.1", 0).ok());
        workers.start();
    }

    ~ReplicaServerTest() override
    {
        workers.stop();
    }

    /// The bytes that come until the connection ends, and how it ends.
    std::pair<std::string, boost::system::error_code> send(const std::string &head, const std::string &body)
    {
        net::io_context context;
        net::ip::tcp::socket socket(context);
        socket.connect({net::ip::make_address("127.0.0.1"), server.port()});
        net::write(socket,
                   net::buffer("POST " + head + "Host: replica\r\nConnection: close\r\nContent-Length: "
                               + std::to_string(body.size()) + "\r\n\r\n" + body));
        std::string bytes;
        boost::system::error_code ec;
        net::read(socket, net::dynamic_buffer(bytes), ec);
        return {bytes, ec};
    }

    void order(const std::string &path)
    {
        send("/standin/" + path + " HTTP/1.1\r\n", "");
    }

    /// A stream that ends behind four events, of ten that its tokens allow.
    std::pair<std::string, boost::system::error_code> stream()
    {
        return send("/once/c HTTP/1.1\r\n" + std::string(PlatformNames::kCallId) + ": c\r\n"
                        + PlatformNames::kExpectedEndpoint + ": replica-1\r\n" + PlatformNames::kTokenBounds
                        + ": 100,70\r\n",
                    ReplicaServer::callBody(4));
    }

    static bool hasEvent(const std::string &bytes, std::int64_t id)
    {
        return bytes.find(ReplicaServer::eventText("c", id)) != std::string::npos;
    }

    WorkerPool workers;
    ReplicaServer server;
};

TEST_F(ReplicaServerTest, stream_endsBehindTheEventsThatItsCallNames)
{
    for (const char *framing : {"order/end-by-length", "order/end-by-closing"}) {
        order(framing);
        const auto [bytes, ec] = stream();
        EXPECT_EQ(ec, net::error::eof);
        EXPECT_TRUE(hasEvent(bytes, 4));
        EXPECT_FALSE(hasEvent(bytes, 5));
        EXPECT_EQ(bytes.ends_with("0\r\n\r\n"), framing == std::string("order/end-by-length"));
    }
}

TEST_F(ReplicaServerTest, connectionOfAStream_endsWhereAndAsItsFaultNames)
{
    struct Place {
        const char *name;
        std::int64_t last;
        bool isInside;
    };
    for (const char *framing : {"order/end-by-length", "order/end-by-closing"}) {
        order(framing);
        for (const auto &[name, last, isInside] : {Place{"before-first-event", 0, false},
                                                   {"between-events", 2, false},
                                                   {"inside-event", 2, true},
                                                   {"behind-last-event", 4, false}}) {
            order("fault/close-" + std::string(name));
            const auto [bytes, ec] = stream();
            EXPECT_EQ(ec, net::error::eof) << name;
            EXPECT_EQ(hasEvent(bytes, last), last > 0) << name;
            EXPECT_FALSE(hasEvent(bytes, last + 1)) << name;
            EXPECT_EQ(bytes.find("id: " + std::to_string(last + 1)) != std::string::npos, isInside) << name;
            EXPECT_FALSE(bytes.ends_with("0\r\n\r\n")) << name;
            order("fault/reset-" + std::string(name));
            EXPECT_EQ(stream().second, net::error::connection_reset) << name;
        }
    }
}
