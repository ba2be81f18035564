#include "chatrun.h"

#include "contenthash.h"
#include "prefixblocks.h"
#include "standinprogram.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace RadishSwitch
{

namespace
{

namespace asio = boost::asio;

using Clock = asio::steady_timer::clock_type;

constexpr std::chrono::hours kForEver(1);
constexpr std::chrono::seconds kFaultCheckInterval(1);
constexpr char kPlaceOfToken[] = "@token@";

asio::awaitable<void> sleepUntil(Clock::time_point moment)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, moment);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

/// A run's permission to go on, given on another thread and waited for on the run's own strand.
struct Admission {
    explicit Admission(asio::any_io_executor executor)
        : timer(std::move(executor), kForEver)
    {
    }

    asio::steady_timer timer;
    bool isGranted = false;
};

int priorityOf(const HttpRequest &request)
{
    int n = 0;
    return absl::SimpleAtoi(request.headers.find("X-Priority").value_or("0"), &n) ? n : 0;
}

}

ChatRun::ChatRun(Engine &engine, HttpExchange &exchange, ChatPrompt prompt)
    : m_engine(engine)
    , m_exchange(exchange)
    , m_prompt(std::move(prompt))
    , m_answer(m_prompt.text)
{
    std::string known;
    while (known.size() < m_prompt.continued.size() && m_begin < m_answer.length()) {
        known += m_answer.token(m_begin);
        ++m_begin;
    }
    if (absl::StartsWith(known, m_prompt.continued)) {
        m_text = known.substr(m_prompt.continued.size());
    }
    const std::int64_t limit = m_prompt.maximumTokens.value_or(m_answer.length());
    m_end = std::min(m_answer.length(), m_begin + limit);
}

asio::awaitable<void> ChatRun::run()
{
    m_number = m_engine.records().add(newRecord());
    m_created = recordTime() / 1'000'000;
    if (m_engine.faults().isNeverAnswering) {
        m_engine.records().finish(m_number, co_await neverAnswer());
        co_return;
    }
    co_await waitForSlot();
    const EngineRunState state = co_await runInBatch();
    m_engine.scheduler().leave(m_ticket);
    m_engine.noteLoad(0);
    m_engine.records().finish(m_number, state);
}

EngineRun ChatRun::newRecord() const
{
    const HttpHeaders &headers = m_exchange.request().headers;
    EngineRun run;
    run.engine = m_engine.settings().name;
    run.requestId = headers.find("X-Request-Id").value_or("");
    run.attemptId = headers.find("X-Attempt-Id").value_or("");
    run.contentHash = contentHash(m_prompt.text);
    run.promptTokens = m_prompt.promptTokens;
    run.continuedTokens = m_begin;
    run.isContinuationWrong = !absl::StartsWith(m_answer.tokens(m_begin), m_prompt.continued);
    run.priority = priorityOf(m_exchange.request());
    return run;
}

asio::awaitable<void> ChatRun::waitForSlot()
{
    const auto executor = co_await asio::this_coro::executor;
    const auto admission = std::make_shared<Admission>(executor);
    const auto onAdmitted = [executor, admission] {
        asio::post(executor, [admission] {
            admission->isGranted = true;
            admission->timer.cancel();
        });
    };
    const std::int64_t tokens = m_prompt.promptTokens + m_end - m_begin;
    m_ticket = m_engine.scheduler().enter(priorityOf(m_exchange.request()), tokens, onAdmitted);
    m_engine.noteLoad(0);
    while (!admission->isGranted) {
        boost::system::error_code ec;
        co_await admission->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

asio::awaitable<EngineRunState> ChatRun::runInBatch()
{
    co_await prefill();
    if (m_prompt.isStreamed) {
        const HttpHeaders headers{{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}};
        absl::Status status = co_await m_exchange.beginStream(200, headers);
        const std::string role = R"([{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}])";
        if (status.ok()) {
            status = co_await m_exchange.write(chunk(role, "null"));
        }
        if (!status.ok()) {
            co_return EngineRunState::Cancelled;
        }
    }
    co_return co_await generate();
}

asio::awaitable<void> ChatRun::prefill()
{
    const std::vector<std::uint64_t> hashes = prefixBlockHashes(m_prompt.model, m_prompt.text);
    const std::size_t cachedBytes = m_engine.cache().cachedBlocks(hashes) * kPrefixBlockBytes;
    const std::int64_t cached = countWords(std::string_view(m_prompt.text).substr(0, cachedBytes));
    m_engine.records().setRunning(m_number, cached);
    const std::int64_t missing = std::max<std::int64_t>(0, m_prompt.promptTokens - cached);
    co_await sleepUntil(Clock::now() + m_engine.prefillTime(missing));
    m_engine.cache().store(hashes);
}

asio::awaitable<EngineRunState> ChatRun::neverAnswer()
{
    while (m_engine.faults().isNeverAnswering) {
        co_await sleepUntil(Clock::now() + kFaultCheckInterval);
    }
    m_exchange.abort();
    co_return EngineRunState::Cut;
}

asio::awaitable<EngineRunState> ChatRun::generate()
{
    // Reading the prompt gives the first token.
    Clock::time_point due = Clock::now() - m_engine.tokenInterval();
    std::int64_t index = m_begin;
    while (index < m_end) {
        due += m_engine.tokenInterval();
        co_await sleepUntil(due);
        // A run that fell behind makes up for it with several tokens in one write.
        std::int64_t next = index + 1;
        while (next < m_end && !isReset(next) && due + m_engine.tokenInterval() <= Clock::now()) {
            due += m_engine.tokenInterval();
            ++next;
        }
        m_engine.records().addCompletionTokens(m_number, next - index);
        m_engine.noteLoad(next - index);
        const absl::Status status = co_await sendTokens(index, next);
        if (!status.ok()) {
            co_return EngineRunState::Cancelled;
        }
        index = next;
        if (isReset(index)) {
            m_exchange.abort();
            co_return EngineRunState::Cut;
        }
    }
    const absl::Status status = co_await sendEnd();
    const std::string conversation = m_prompt.text + "assistant\n" + m_answer.tokens(m_end) + "\n";
    m_engine.cache().store(prefixBlockHashes(m_prompt.model, conversation));
    co_return status.ok() ? EngineRunState::Done : EngineRunState::Cancelled;
}

asio::awaitable<absl::Status> ChatRun::sendTokens(std::int64_t from, std::int64_t to)
{
    std::string events;
    for (std::int64_t n = from; n < to; ++n) {
        const std::string text = m_text + m_answer.token(n);
        if (!m_prompt.isStreamed) {
            m_text = text;
            continue;
        }
        m_text.clear();
        if (m_tokenHead.empty()) {
            const std::string whole =
                chunk(R"([{"index":0,"delta":{"content":"@token@"},"finish_reason":null}])", "null");
            const std::size_t place = whole.find(kPlaceOfToken);
            m_tokenHead = whole.substr(0, place);
            m_tokenTail = whole.substr(place + sizeof(kPlaceOfToken) - 1);
        }
        events += m_tokenHead + text + m_tokenTail;
    }
    if (!m_prompt.isStreamed) {
        co_return absl::OkStatus();
    }
    co_return co_await m_exchange.write(std::move(events));
}

asio::awaitable<absl::Status> ChatRun::sendEnd()
{
    if (!m_prompt.isStreamed) {
        co_return co_await m_exchange.respond(jsonResponse(200, wholeAnswer()));
    }
    const nlohmann::json choices{
        {{"index", 0}, {"delta", nlohmann::json::object()}, {"finish_reason", finishReason()}}};
    std::string events = chunk(choices.dump(), "null");
    if (m_prompt.isUsageIncluded) {
        events += chunk("[]", usage());
    }
    events += "data: [DONE]\n\n";
    const absl::Status status = co_await m_exchange.write(std::move(events));
    if (!status.ok()) {
        co_return status;
    }
    co_return co_await m_exchange.endStream();
}

std::string ChatRun::chunk(const std::string &choices, const std::string &usage) const
{
    nlohmann::ordered_json document{
        {"id", "chatcmpl-" + m_engine.settings().name + "-" + std::to_string(m_number)},
        {"object", "chat.completion.chunk"},
        {"created", m_created},
        {"model", m_prompt.model},
        {"choices", nlohmann::ordered_json::parse(choices)},
    };
    if (m_prompt.isUsageIncluded) {
        document["usage"] = nlohmann::ordered_json::parse(usage);
    }
    return "data: " + document.dump() + "\n\n";
}

std::string ChatRun::wholeAnswer() const
{
    const nlohmann::ordered_json document{
        {"id", "chatcmpl-" + m_engine.settings().name + "-" + std::to_string(m_number)},
        {"object", "chat.completion"},
        {"created", m_created},
        {"model", m_prompt.model},
        {"choices",
         {{{"index", 0},
           {"message", {{"role", "assistant"}, {"content", m_text}}},
           {"finish_reason", finishReason()}}}},
        {"usage", nlohmann::ordered_json::parse(usage())},
    };
    return document.dump();
}

std::string ChatRun::finishReason() const
{
    return m_end == m_answer.length() ? "stop" : "length";
}

std::string ChatRun::usage() const
{
    const std::int64_t completionTokens = m_end - m_begin;
    const nlohmann::ordered_json document{
        {"prompt_tokens", m_prompt.promptTokens},
        {"completion_tokens", completionTokens},
        {"total_tokens", m_prompt.promptTokens + completionTokens},
    };
    return document.dump();
}

bool ChatRun::isReset(std::int64_t index) const
{
    const auto after = m_engine.faults().resetAfterTokens;
    return after && index - m_begin >= *after;
}

}
