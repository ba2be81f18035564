#include "relaylink.h"

#include "socketaddress.h"
#include "workerpool.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <future>

using namespace RadishSwitch;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// A client and a server with the relay between them, on real sockets. Each step waits for what must come; what must
/// not come is looked for after something later has come.
class RelayLinkTest : public testing::Test
{
protected:
    struct Connection {
        tcp::socket client;
        tcp::socket server;
    };

    RelayLinkTest()
        : m_acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_workers(1)
        , m_link(m_workers,
                 LinkSettings{"127.0.0.1:0", "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()), "g"})
    {
    }

    void SetUp() override
    {
        ASSERT_TRUE(m_link.listen().ok());
        m_workers.start();
    }

    void TearDown() override
    {
        m_workers.stop();
    }

    tcp::socket connectClient(const std::string &from = "127.0.0.1")
    {
        const auto address = parseSocketAddress(m_link.address());
        tcp::socket client(m_context, tcp::endpoint(asio::ip::make_address(from), 0));
        client.connect(tcp::endpoint(asio::ip::make_address(address->ip()), address->port()));
        return client;
    }

    Connection connect(const std::string &from = "127.0.0.1")
    {
        tcp::socket client = connectClient(from);
        return Connection{std::move(client), m_acceptor.accept()};
    }

    /// On the relay's own thread, as its control door does it. Gives how many connections were struck.
    int apply(const std::string &document)
    {
        std::promise<int> struck;
        m_workers.post([&] {
            struck.set_value(m_link.apply(*faultOrderOfJson(document)));
        });
        return struck.get_future().get();
    }

    static void send(tcp::socket &from, const std::string &text)
    {
        asio::write(from, asio::buffer(text));
    }

    static std::string receive(tcp::socket &at, std::size_t size)
    {
        std::string text(size, ' ');
        boost::system::error_code ec;
        text.resize(asio::read(at, asio::buffer(text), ec));
        return ec ? "error after " + text : text;
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    WorkerPool m_workers;
    RelayLink m_link;
};

TEST_F(RelayLinkTest, noFault_bytesSent_comeThroughBothWaysInOrder)
{
    Connection it = connect();

    send(it.client, "ask");
    EXPECT_EQ(receive(it.server, 3), "ask");
    apply(R"({"delay_ms":5})");
    send(it.server, "ans");
    send(it.server, "wer");
    EXPECT_EQ(receive(it.client, 6), "answer");

    it.client.shutdown(tcp::socket::shutdown_send);
    EXPECT_EQ(receive(it.server, 1), "error after ");
}

TEST_F(RelayLinkTest, linkCut_openAndNewConnections_areReset)
{
    Connection it = connect();
    send(it.client, "a");
    ASSERT_EQ(receive(it.server, 1), "a");

    apply(R"({"cut":true})");

    EXPECT_EQ(receive(it.client, 1), "error after ");
    EXPECT_EQ(receive(it.server, 1), "error after ");
    tcp::socket late = connectClient();
    EXPECT_EQ(receive(late, 1), "error after ");

    apply("{}");
    Connection again = connect();
    send(again.client, "b");
    EXPECT_EQ(receive(again.server, 1), "b");
}

TEST_F(RelayLinkTest, openConnectionsSwallowed_newOnesOpened_onlyTheNewOnesCarry)
{
    Connection old = connect();
    send(old.client, "a");
    ASSERT_EQ(receive(old.server, 1), "a");

    apply(R"({"swallow":"both"})");
    send(old.client, "lost");
    send(old.server, "lost");
    Connection fresh = connect();
    send(fresh.client, "b");
    EXPECT_EQ(receive(fresh.server, 1), "b");
    send(fresh.server, "c");
    EXPECT_EQ(receive(fresh.client, 1), "c");

    EXPECT_EQ(old.server.available(), 0U);
    EXPECT_EQ(old.client.available(), 0U);
}

TEST_F(RelayLinkTest, oneWaySwallowed_bytesSent_onlyTheOtherWayCarries)
{
    Connection it = connect();
    send(it.client, "a");
    ASSERT_EQ(receive(it.server, 1), "a");

    apply(R"({"swallow":"to_target"})");
    send(it.client, "lost");
    send(it.server, "b");

    EXPECT_EQ(receive(it.client, 1), "b");
    EXPECT_EQ(it.server.available(), 0U);
}

TEST_F(RelayLinkTest, newConnectionsSwallowed_openedAfter_carryNothingAndOldOnesDo)
{
    Connection old = connect();
    apply(R"({"swallow_new":true})");

    Connection late = connect();
    send(late.client, "lost");
    send(late.server, "lost");
    send(old.client, "a");

    EXPECT_EQ(receive(old.server, 1), "a");
    EXPECT_EQ(late.server.available(), 0U);
    EXPECT_EQ(late.client.available(), 0U);
}

TEST_F(RelayLinkTest, oneSideCutOff_otherSideConnects_onlyTheFirstIsSilent)
{
    Connection near = connect();
    Connection far = connect("127.0.0.2");
    const std::string order = R"({"from":"127.0.0.2","swallow":"both","swallow_new":true})";

    EXPECT_EQ(apply(order), 1);
    Connection late = connect("127.0.0.2");
    for (Connection *it : {&far, &late, &near}) {
        send(it->client, "a");
    }

    EXPECT_EQ(receive(near.server, 1), "a");
    EXPECT_EQ(far.server.available(), 0U);
    EXPECT_EQ(late.server.available(), 0U);
}

TEST(FaultOrderTest, badOrders_read_areErrors)
{
    for (const char *document : {"", "[1]", R"({"cut":"yes"})", R"({"swallow":"some"})", R"({"burn":true})"}) {
        EXPECT_FALSE(faultOrderOfJson(document).ok()) << document;
    }
    EXPECT_FALSE(linkSettingsOfFlag("127.0.0.1:1").ok());
    EXPECT_FALSE(linkSettingsOfFlag("127.0.0.1:1=nowhere").ok());
    EXPECT_EQ(*linkSettingsOfFlag("127.0.0.1:1=127.0.0.1:2,g"), (LinkSettings{"127.0.0.1:1", "127.0.0.1:2", "g"}));
}
