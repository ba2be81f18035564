#include "httpendpoint.h"

#include "base/failure.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <mutex>

namespace RadishSwitch
{

namespace
{

namespace asio = boost::asio;

HttpRequest toHttp(EndpointRequest request)
{
    HttpRequest http;
    http.method = std::move(request.method);
    http.target = std::move(request.target);
    if (!request.contentType.empty()) {
        http.headers.add("Content-Type", std::move(request.contentType));
    }
    http.headers.add("X-Request-Id", request.request.value());
    http.headers.add("X-Attempt-Id", request.attempt.value());
    http.headers.add("X-Priority", std::to_string(request.priority));
    http.body = std::move(request.body);
    return http;
}

AnswerHead headOf(int status, const HttpHeaders &headers)
{
    return {status, headers.find("Content-Type").value_or("")};
}

/// One call: a coroutine that reads, and a cancellation that may come at any moment on any thread.
class HttpEndpointCall : public EndpointCall
{
public:
    explicit HttpEndpointCall(EndpointCallbacks callbacks)
        : m_callbacks(std::move(callbacks))
    {
    }

    void cancel() override
    {
        m_cancellation->cancel();
        // After that: a stream that comes later finds the call cancelled.
        std::shared_ptr<HttpResponseStream> stream;
        {
            const std::lock_guard lock(m_mutex);
            stream = m_stream;
        }
        if (stream) {
            stream->cancel();
        }
    }

    /// `self` keeps the call alive for as long as the coroutine runs.
    static asio::awaitable<void> run(std::shared_ptr<HttpEndpointCall> self, HttpClient &client, std::string address,
                                     EndpointRequest request)
    {
        const Duration reachTimeout = request.reachTimeout;
        const Duration firstByteTimeout = request.firstByteTimeout;
        const Duration silenceTimeout = request.silenceTimeout;
        const EndpointCallbacks &callbacks = self->m_callbacks;
        auto stream = co_await client.open(std::move(address), toHttp(std::move(request)), firstByteTimeout,
                                           self->m_cancellation, reachTimeout);
        if (!stream.ok()) {
            callbacks.onEnd(stream.status());
            co_return;
        }
        if (!self->takeStream(*stream)) {
            (*stream)->cancel();
            callbacks.onEnd(withUnknownOutcome(makeFailure(FailureCode::ConnectionLost, "the call was cancelled")));
            co_return;
        }
        callbacks.onHead(headOf((*stream)->status(), (*stream)->headers()));
        callbacks.onEnd(co_await self->readAll(**stream, firstByteTimeout, silenceTimeout));
    }

private:
    asio::awaitable<absl::Status> readAll(HttpResponseStream &stream, Duration firstByteTimeout,
                                          Duration silenceTimeout)
    {
        Duration timeout = firstByteTimeout;
        for (;;) {
            absl::StatusOr<std::string> bytes = co_await stream.read(timeout);
            if (!bytes.ok()) {
                // Also when the client can't tell: the endpoint has begun to answer.
                co_return withUnknownOutcome(bytes.status());
            }
            if (bytes->empty()) {
                co_return absl::OkStatus();
            }
            m_callbacks.onBytes(*std::move(bytes));
            timeout = silenceTimeout;
        }
    }

    bool takeStream(std::shared_ptr<HttpResponseStream> stream)
    {
        const std::lock_guard lock(m_mutex);
        m_stream = std::move(stream);
        return !m_cancellation->isCancelled();
    }

    const EndpointCallbacks m_callbacks;
    const std::shared_ptr<HttpCancellation> m_cancellation = std::make_shared<HttpCancellation>();
    std::mutex m_mutex;
    std::shared_ptr<HttpResponseStream> m_stream;
};

asio::awaitable<void> fetchDocument(HttpClient &client, std::string address, EndpointQuery query, Duration timeout,
                                    std::function<void(absl::StatusOr<EndpointDocument>)> callback)
{
    HttpRequest request;
    request.method = std::move(query.method);
    request.target = std::move(query.target);
    if (!query.contentType.empty()) {
        request.headers.add("Content-Type", std::move(query.contentType));
    }
    request.body = std::move(query.body);
    absl::StatusOr<HttpResponse> response = co_await client.fetch(std::move(address), std::move(request), timeout);
    if (!response.ok()) {
        callback(response.status());
        co_return;
    }
    callback(EndpointDocument{headOf(response->status, response->headers), std::move(response->body)});
}

}

HttpEndpoint::HttpEndpoint(WorkerPool &workers, HttpClient &client, std::string address)
    : m_workers(workers)
    , m_client(client)
    , m_address(std::move(address))
{
}

std::shared_ptr<EndpointCall> HttpEndpoint::call(EndpointRequest request, EndpointCallbacks callbacks)
{
    const auto call = std::make_shared<HttpEndpointCall>(std::move(callbacks));
    const auto strand = asio::make_strand(m_workers.context());
    asio::post(strand, [call, strand, this, request = std::move(request)]() mutable {
        asio::co_spawn(strand, HttpEndpointCall::run(call, m_client, m_address, std::move(request)), asio::detached);
    });
    return call;
}

void HttpEndpoint::fetch(EndpointQuery query, Duration timeout,
                         std::function<void(absl::StatusOr<EndpointDocument>)> callback)
{
    const auto strand = asio::make_strand(m_workers.context());
    asio::post(strand, [strand, this, query = std::move(query), timeout, callback = std::move(callback)]() mutable {
        asio::co_spawn(strand, fetchDocument(m_client, m_address, std::move(query), timeout, std::move(callback)),
                       asio::detached);
    });
}

}
