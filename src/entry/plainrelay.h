#pragma once

#include "answerrelay.h"

namespace RadishSwitch
{

/// Hands the whole answer over at its end, with its length: for answers that are not streamed.
class PlainRelay : public AnswerRelay
{
public:
    PlainRelay(HttpExchange &exchange, std::string requestId);

    void setHead(int status, const std::string &contentType) override;
    boost::asio::awaitable<absl::Status> append(std::string data) override;
    boost::asio::awaitable<absl::Status> finish() override;
    boost::asio::awaitable<void> fail(const absl::Status &status) override;
    bool restart() override;

private:
    HttpExchange &m_exchange;
    std::string m_requestId;
    HttpResponse m_response;
};

}
