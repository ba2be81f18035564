#include "plainrelay.h"

#include "apierror.h"

#include <utility>

namespace RadishSwitch
{

PlainRelay::PlainRelay(HttpExchange &exchange, std::string requestId)
    : m_exchange(exchange)
    , m_requestId(std::move(requestId))
{
}

void PlainRelay::setHead(int status, const std::string &contentType)
{
    m_response.status = status;
    m_response.headers = HttpHeaders{{"Content-Type", contentType}, {"X-Request-Id", m_requestId}};
    m_response.body.clear();
}

boost::asio::awaitable<absl::Status> PlainRelay::append(std::string data)
{
    m_response.body += data;
    co_return absl::OkStatus();
}

boost::asio::awaitable<absl::Status> PlainRelay::finish()
{
    co_return co_await m_exchange.respond(std::move(m_response));
}

boost::asio::awaitable<void> PlainRelay::fail(const absl::Status &status)
{
    (void)co_await m_exchange.respond(errorResponse(status, m_requestId));
}

bool PlainRelay::restart()
{
    m_response.body.clear();
    return true;
}

}
