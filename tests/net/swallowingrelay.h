#pragma once

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

/// Stands between a client and a server on loopback, and can lose track of the connections that are open: they stay
/// open, and whatever comes on them is swallowed. New ones work.
class SwallowingRelay
{
public:
    using Tcp = boost::asio::ip::tcp;

    explicit SwallowingRelay(std::uint16_t serverPort)
        : m_server(boost::asio::ip::address_v4::loopback(), serverPort)
        , m_acceptor(m_context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        boost::asio::co_spawn(m_context, accept(), boost::asio::detached);
        m_thread = std::thread([this] {
            m_context.run();
        });
    }

    ~SwallowingRelay()
    {
        m_context.stop();
        m_thread.join();
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    void swallowOpenConnections()
    {
        ++m_swallowedGeneration;
    }

    int connectionCount() const
    {
        return m_connectionCount;
    }

    /// Waits until `count` more pieces of what the two ends say have been passed on. False when that takes too long.
    bool waitForTraffic(int count)
    {
        constexpr std::chrono::seconds kPatience(30);
        std::unique_lock lock(m_mutex);
        const int target = m_forwarded + count;
        return m_changed.wait_for(lock, kPatience, [&] {
            return m_forwarded >= target;
        });
    }

private:
    struct Link {
        explicit Link(boost::asio::io_context &context)
            : client(context)
            , server(context)
        {
        }

        Tcp::socket client;
        Tcp::socket server;
        int generation = 0;
    };

    boost::asio::awaitable<void> accept()
    {
        for (;;) {
            auto link = std::make_shared<Link>(m_context);
            co_await m_acceptor.async_accept(link->client, boost::asio::use_awaitable);
            ++m_connectionCount;
            co_await link->server.async_connect(m_server, boost::asio::use_awaitable);
            link->generation = m_swallowedGeneration;
            boost::asio::co_spawn(m_context, pump(link, link->client, link->server), boost::asio::detached);
            boost::asio::co_spawn(m_context, pump(link, link->server, link->client), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> pump(std::shared_ptr<Link> link, Tcp::socket &from, Tcp::socket &to)
    {
        std::array<char, 4096> buf;
        for (;;) {
            const std::size_t n = co_await from.async_read_some(boost::asio::buffer(buf), boost::asio::use_awaitable);
            if (link->generation == m_swallowedGeneration) {
                co_await boost::asio::async_write(to, boost::asio::buffer(buf, n), boost::asio::use_awaitable);
                countForwarded();
            }
        }
    }

    void countForwarded()
    {
        const std::lock_guard lock(m_mutex);
        ++m_forwarded;
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_forwarded = 0;
    boost::asio::io_context m_context;
    const Tcp::endpoint m_server;
    Tcp::acceptor m_acceptor;
    std::atomic<int> m_swallowedGeneration = 0;
    std::atomic<int> m_connectionCount = 0;
    std::thread m_thread;
};
