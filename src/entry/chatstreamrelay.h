#pragma once

#include "answerrelay.h"
#include "requests/ssescanner.h"

#include <string>
#include <vector>

namespace RadishSwitch
{

/// Passes an engine's streamed chat completion on: event by event as they come, or put together to one whole answer for
/// a caller who asked for no stream.
///
/// Only whole events go out, so that an answer can be gone on with by another attempt at any point. "[DONE]" is held
/// until the answer is on the bill.
class ChatStreamRelay : public AnswerRelay
{
public:
    /// `isStreamed` is whether the caller asked for a stream, `passesUsage` whether it asked for the usage at a
    /// stream's end; the fleet always asks for both.
    ChatStreamRelay(HttpExchange &exchange, std::string requestId, bool isStreamed, bool passesUsage);

    void setHead(int status, const std::string &contentType) override;
    boost::asio::awaitable<absl::Status> append(std::string data) override;
    boost::asio::awaitable<absl::Status> finish() override;
    boost::asio::awaitable<void> fail(const absl::Status &status) override;
    bool restart() override;

    /// Whether there is a part of the answer to go on with: sent to the caller, or kept for a whole answer.
    bool hasDelivered() const;

    /// A later attempt goes on: what is left of a cut event is dropped, and its events take the id of the first.
    void beginContinuation();

    /// The engine counted so many tokens of the answer into its prompt; the usage is told to the caller without that.
    void setPriorTokens(std::int64_t tokens);

    /// The text that has been sent or is kept, and in how many tokens.
    std::string deliveredText() const;
    std::int64_t deliveredTokens() const;

    /// The bytes of the whole events that have been sent or are kept.
    const std::string &deliveredBytes() const;

private:
    bool isPassedAsItIs() const;
    bool canEndAsItBegan() const;
    boost::asio::awaitable<absl::Status> beginStream();
    boost::asio::awaitable<absl::Status> respondWhole();
    void take(const SseEvent &event, std::string &out);
    std::string continued(const std::string &data) const;
    std::string withTrueUsage(const std::string &data) const;

    HttpExchange &m_exchange;
    std::string m_requestId;
    bool m_isStreamed;
    bool m_passesUsage;
    bool m_isStreaming = false;
    bool m_isContinuation = false;
    std::int64_t m_priorTokens = 0;
    int m_status = 0;
    std::string m_contentType;
    std::string m_errorBody;
    SseScanner m_scanner;
    std::vector<SseEvent> m_events;
    std::string m_delivered;
};

}
