#pragma once

#include "answertext.h"
#include "chatprompt.h"
#include "engine.h"
#include "enginerun.h"
#include "httpserver.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace RadishSwitch
{

/// One chat completion at the stand-in engine, from its place in the queue to its last byte.
class ChatRun
{
public:
    ChatRun(Engine &engine, HttpExchange &exchange, ChatPrompt prompt);

    boost::asio::awaitable<void> run();

private:
    EngineRun newRecord() const;
    boost::asio::awaitable<void> waitForSlot();
    boost::asio::awaitable<EngineRunState> runInBatch();
    boost::asio::awaitable<void> prefill();
    boost::asio::awaitable<EngineRunState> neverAnswer();
    boost::asio::awaitable<EngineRunState> generate();
    boost::asio::awaitable<absl::Status> sendTokens(std::int64_t from, std::int64_t to);
    boost::asio::awaitable<absl::Status> sendEnd();
    std::string chunk(const std::string &choices, const std::string &usage) const;
    std::string wholeAnswer() const;
    std::string finishReason() const;
    std::string usage() const;
    bool isReset(std::int64_t index) const;

    Engine &m_engine;
    HttpExchange &m_exchange;
    ChatPrompt m_prompt;
    AnswerText m_answer;
    std::uint64_t m_number = 0;
    BatchScheduler::Ticket m_ticket = 0;
    /// The answer's first token that is to be made here, and the one after its last.
    std::int64_t m_begin = 0;
    std::int64_t m_end = 0;
    std::int64_t m_created = 0;
    std::string m_tokenHead;
    std::string m_tokenTail;
    std::string m_text;
};

}
