#pragma once

#include "base/failure.h"
#include "httpserver.h"

#include <string>
#include <utility>
#include <vector>

/// A caller's side of one exchange: keeps what it was sent, and can be gone.
class FakeHttpExchange : public RadishSwitch::HttpExchange
{
public:
    using HttpHeaders = RadishSwitch::HttpHeaders;
    using HttpRequest = RadishSwitch::HttpRequest;
    using HttpResponse = RadishSwitch::HttpResponse;

    const HttpRequest &request() const override
    {
        return m_request;
    }

    const std::string &peer() const override
    {
        return m_peer;
    }

    boost::asio::awaitable<absl::Status> respond(HttpResponse response) override
    {
        responses.push_back(std::move(response));
        co_return answer();
    }

    boost::asio::awaitable<absl::Status> beginStream(int status, HttpHeaders headers) override
    {
        begun.push_back(HttpResponse{status, std::move(headers), ""});
        co_return answer();
    }

    boost::asio::awaitable<absl::Status> write(std::string data) override
    {
        if (begun.empty()) {
            co_return RadishSwitch::makeFailure(RadishSwitch::FailureCode::Internal, "nothing was begun");
        }
        ++writes;
        const absl::Status status = writes > writesUntilGone ? lost() : absl::OkStatus();
        if (status.ok()) {
            written += data;
        }
        co_return status;
    }

    boost::asio::awaitable<absl::Status> endStream() override
    {
        isEnded = true;
        co_return answer();
    }

    void setPeerGoneCallback(std::function<void()>) override
    {
    }

    void abort() override
    {
        isAborted = true;
    }

    /// Writes that the caller still takes.
    int writesUntilGone = 1'000'000;

    std::vector<HttpResponse> responses;
    /// The heads of the streams that were begun; more than one is a fault.
    std::vector<HttpResponse> begun;
    std::string written;
    int writes = 0;
    bool isEnded = false;
    bool isAborted = false;

private:
    static absl::Status lost()
    {
        return RadishSwitch::makeFailure(RadishSwitch::FailureCode::ConnectionLost, "the caller is gone");
    }

    absl::Status answer() const
    {
        return writes > writesUntilGone ? lost() : absl::OkStatus();
    }

    HttpRequest m_request;
    std::string m_peer = "127.0.0.1:1";
};
