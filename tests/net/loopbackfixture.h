#pragma once

#include "httpclient.h"
#include "httpserver.h"
#include "workerpool.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <string>
#include <vector>

/// Servers and clients on loopback, with real workers. What a test starts here ends with it.
class LoopbackFixture : public testing::Test
{
protected:
    using Duration = RadishSwitch::Duration;
    using HttpExchange = RadishSwitch::HttpExchange;
    using HttpRequest = RadishSwitch::HttpRequest;
    using HttpResponse = RadishSwitch::HttpResponse;
    using HttpServer = RadishSwitch::HttpServer;
    using HttpServerSettings = RadishSwitch::HttpServerSettings;

    /// Longer than anything takes that is meant to end.
    static constexpr Duration kLong = std::chrono::seconds(30);
    /// For what is meant to time out.
    static constexpr Duration kShort = std::chrono::milliseconds(50);

    LoopbackFixture()
        : workers(2)
        , client(workers)
    {
        workers.start();
    }

    ~LoopbackFixture() override
    {
        workers.stop();
    }

    template<typename T>
    T wait(boost::asio::awaitable<T> work)
    {
        return boost::asio::co_spawn(workers.context(), std::move(work), boost::asio::use_future).get();
    }

    HttpServer &start(HttpServer::Handler handler, HttpServerSettings settings = {})
    {
        servers.push_back(std::make_unique<HttpServer>(workers, settings, std::move(handler)));
        EXPECT_TRUE(servers.back()->listen("127.0.0.1", 0).ok());
        return *servers.back();
    }

    std::string serve(HttpServer::Handler handler, HttpServerSettings settings = {})
    {
        return addressOf(start(std::move(handler), settings));
    }

    static std::string addressOf(const HttpServer &server)
    {
        return "127.0.0.1:" + std::to_string(server.port());
    }

    absl::StatusOr<HttpResponse> fetch(const std::string &address, HttpRequest request = {}, Duration timeout = kLong)
    {
        return wait(client.fetch(address, std::move(request), timeout));
    }

    /// Sends bytes as they are, and reads until the other side closes.
    std::string exchangeRaw(std::uint16_t port, const std::string &bytes)
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({boost::asio::ip::address_v4::loopback(), port});
        boost::system::error_code ec;
        boost::asio::write(socket, boost::asio::buffer(bytes), ec);
        socket.shutdown(boost::asio::socket_base::shutdown_send, ec);
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ec);
        return answer;
    }

    RadishSwitch::WorkerPool workers;
    RadishSwitch::HttpClient client;
    std::vector<std::unique_ptr<HttpServer>> servers;
};
