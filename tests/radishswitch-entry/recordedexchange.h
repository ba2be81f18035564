#pragma once

#include "../golden/sessionrecorder.h"
#include "httpserver.h"

#include <string>
#include <utility>

/// A caller that writes down what it is sent, event by event.
class RecordedExchange : public RadishSwitch::HttpExchange
{
public:
    using HttpHeaders = RadishSwitch::HttpHeaders;
    using HttpRequest = RadishSwitch::HttpRequest;
    using HttpResponse = RadishSwitch::HttpResponse;

    RecordedExchange(SessionRecorder &recorder, std::string entry, std::string caller, HttpRequest request)
        : m_recorder(recorder)
        , m_entry(std::move(entry))
        , m_caller(std::move(caller))
        , m_request(std::move(request))
    {
    }

    const HttpRequest &request() const override
    {
        return m_request;
    }

    const std::string &peer() const override
    {
        return m_caller;
    }

    boost::asio::awaitable<absl::Status> respond(HttpResponse response) override
    {
        tell(std::to_string(response.status) + " " + response.body);
        co_return absl::OkStatus();
    }

    boost::asio::awaitable<absl::Status> beginStream(int status, HttpHeaders) override
    {
        tell(std::to_string(status) + ", a stream");
        co_return absl::OkStatus();
    }

    boost::asio::awaitable<absl::Status> write(std::string data) override
    {
        for (std::size_t n = data.find("\n\n"); n != std::string::npos; n = data.find("\n\n")) {
            tell(data.substr(0, n));
            data.erase(0, n + 2);
        }
        co_return absl::OkStatus();
    }

    boost::asio::awaitable<absl::Status> endStream() override
    {
        tell("end of the stream");
        co_return absl::OkStatus();
    }

    void setPeerGoneCallback(std::function<void()>) override
    {
    }

    void abort() override
    {
        tell("(the connection is cut)");
    }

private:
    void tell(const std::string &text)
    {
        m_recorder.sends(m_entry, m_caller, text);
    }

    SessionRecorder &m_recorder;
    const std::string m_entry;
    const std::string m_caller;
    const HttpRequest m_request;
};
