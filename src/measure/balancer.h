#pragma once

#include "httpclient.h"
#include "loadsettings.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <mutex>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// Stands in for the platform's balancer: hands out the doors in turn, and leaves out those whose /readyz says no.
/// Safe on any thread.
class Balancer
{
public:
    Balancer(HttpClient &client, std::vector<LoadTarget> targets);

    /// The next door, another one than `excluded` if there is any.
    std::string next(const std::string &excluded);

    /// Asks the doors whether they are ready, for ever. One coroutine a door.
    boost::asio::awaitable<void> watch(std::size_t index);

    std::size_t size() const;

private:
    struct Door {
        LoadTarget target;
        bool isReady = true;
    };

    HttpClient &m_client;
    mutable std::mutex m_mutex;
    std::vector<Door> m_doors;
    std::size_t m_turn = 0;
};

}
