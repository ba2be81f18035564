#include "balancer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace RadishSwitch
{

namespace
{

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kProbeInterval(200);
constexpr std::chrono::milliseconds kProbeTimeout(500);

}

Balancer::Balancer(HttpClient &client, std::vector<LoadTarget> targets)
    : m_client(client)
{
    for (LoadTarget &target : targets) {
        m_doors.push_back(Door{std::move(target)});
    }
}

std::string Balancer::next(const std::string &excluded)
{
    const std::lock_guard lock(m_mutex);
    std::string fallback;
    for (std::size_t n = 0; n < m_doors.size(); ++n) {
        const Door &door = m_doors[m_turn++ % m_doors.size()];
        if (door.isReady && door.target.address != excluded) {
            return door.target.address;
        }
        if (door.isReady || fallback.empty()) {
            fallback = door.target.address;
        }
    }
    return fallback;
}

asio::awaitable<void> Balancer::watch(std::size_t index)
{
    // The doors are fixed once the load runs, so only their state needs the lock.
    const std::string address = m_doors[index].target.adminAddress;
    if (address.empty()) {
        co_return;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;) {
        // Named: g++ 12 destroys an aggregate made inside a co_await expression twice.
        HttpRequest request{"GET", "/readyz", {}, ""};
        const auto response = co_await m_client.fetch(address, std::move(request), kProbeTimeout);
        {
            const std::lock_guard lock(m_mutex);
            m_doors[index].isReady = response.ok() && response->status == 200;
        }
        timer.expires_after(kProbeInterval);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

std::size_t Balancer::size() const
{
    return m_doors.size();
}

}
