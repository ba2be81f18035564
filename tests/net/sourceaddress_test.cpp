#include "sourceaddress.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

using namespace RadishSwitch;
using tcp = boost::asio::ip::tcp;

class SourceAddressTest : public testing::Test
{
protected:
    std::string sourceSeen(const std::string &source)
    {
        tcp::socket client(m_context);
        EXPECT_FALSE(openFrom(client, source));
        client.connect(m_acceptor.local_endpoint());
        return m_acceptor.accept().remote_endpoint().address().to_string();
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
};

TEST_F(SourceAddressTest, numberOfThisInstance_connected_isSeenByTheOtherSide)
{
    EXPECT_EQ(sourceSeen("127.0.5.1"), "127.0.5.1");
    EXPECT_EQ(sourceSeen(""), "127.0.0.1");
}

TEST_F(SourceAddressTest, numberOfNoInstanceHere_opened_isAnError)
{
    tcp::socket client(m_context);
    EXPECT_TRUE(openFrom(client, "192.0.2.1"));

    tcp::socket other(m_context);
    EXPECT_TRUE(openFrom(other, "no number"));
}
