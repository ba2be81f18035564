#include "httpadminport.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace RadishSwitch
{

namespace
{

constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kAnswerTimeout = std::chrono::seconds(2);

boost::asio::awaitable<void> fetch(HttpClient &client, std::string address, HttpRequest request,
                                   std::function<void(absl::StatusOr<AdminAnswer>)> callback)
{
    const absl::StatusOr<HttpResponse> response =
        co_await client.fetch(std::move(address), std::move(request), kAnswerTimeout);
    if (response.ok()) {
        callback(AdminAnswer{response->status, response->body});
    } else {
        callback(response.status());
    }
}

}

HttpAdminPort::HttpAdminPort(WorkerPool &workers)
    : m_workers(workers)
    , m_client(workers, kConnectTimeout)
{
}

void HttpAdminPort::ask(const std::string &address, const std::string &method, const std::string &target,
                        std::function<void(absl::StatusOr<AdminAnswer>)> callback)
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    boost::asio::co_spawn(m_workers.context(), fetch(m_client, address, std::move(request), std::move(callback)),
                          boost::asio::detached);
}

}
