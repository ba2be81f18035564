#include "caller.h"

#include "base/failure.h"
#include "standinprogram.h"

#include <absl/strings/numbers.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace RadishSwitch
{

namespace
{

namespace asio = boost::asio;

asio::awaitable<void> sleepFor(Duration time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

TryOutcome outcomeOfFailure(const absl::Status &status)
{
    if (failureCode(status) == FailureCode::ConnectionSilent) {
        return TryOutcome::TimedOut;
    }
    return outcomeOf(status) == RunOutcome::NotRun ? TryOutcome::NotConnected : TryOutcome::Cut;
}

/// Retry-After in whole seconds, as HTTP has it.
Duration retryAfterOfHeaders(const HttpHeaders &headers)
{
    std::int64_t n = 0;
    if (!absl::SimpleAtoi(headers.find("Retry-After").value_or(""), &n)) {
        return Duration::zero();
    }
    return std::chrono::seconds(n);
}

}

Caller::Caller(const LoadSettings &settings, HttpClient &client, Balancer &balancer, LoadFigures &figures,
               std::shared_ptr<const Call> call)
    : m_settings(settings)
    , m_client(client)
    , m_balancer(balancer)
    , m_figures(figures)
    , m_call(std::move(call))
{
}

asio::awaitable<void> Caller::perform(int firstNumber)
{
    std::string target;
    for (int tries = 1;; ++tries) {
        target = m_balancer.next(target);
        Attempt result = co_await attempt(target, firstNumber + tries - 1);
        result.record.isLast = !isRetried(result, tries);
        m_figures.addTry(result.record, result.times);
        if (result.record.isLast) {
            co_return;
        }
        co_await sleepFor(std::max(result.retryAfter, m_settings.retryDelay));
    }
}

asio::awaitable<Caller::Attempt> Caller::attempt(std::string target, int number)
{
    Attempt result;
    TryRecord &record = result.record;
    record.id = m_call->id;
    record.number = number;
    record.key = m_call->key;
    record.organisation = m_call->organisation.name;
    record.budget = m_call->organisation.budget;
    record.kind = m_call->kind;
    record.isStreamed = m_call->isStreamed;
    record.contentHash = m_call->contentHash;
    record.worstCaseTokens = m_call->worstCaseTokens;
    record.trueCostTokens = m_call->expectedPromptTokens + m_call->expectedCompletionTokens;
    record.target = target;
    record.startTime = recordTime();
    const auto stream = co_await m_client.open(target, m_call->request, m_settings.timeout);
    if (stream.ok()) {
        co_await readAnswer(**stream, result);
    } else {
        record.outcome = outcomeOfFailure(stream.status());
    }
    record.endTime = recordTime();
    co_return result;
}

asio::awaitable<void> Caller::readAnswer(HttpResponseStream &stream, Attempt &attempt)
{
    attempt.record.status = stream.status();
    attempt.record.isRetryAfterGiven = stream.headers().find("Retry-After").has_value();
    attempt.retryAfter = retryAfterOfHeaders(stream.headers());
    if (stream.status() == 200 && m_call->isStreamed) {
        co_await readEvents(stream, attempt);
    } else {
        co_await readBody(stream, attempt);
    }
}

asio::awaitable<void> Caller::readBody(HttpResponseStream &stream, Attempt &attempt)
{
    std::string body;
    for (;;) {
        const auto data = co_await stream.read(m_settings.timeout);
        if (!data.ok()) {
            const bool isSilent = failureCode(data.status()) == FailureCode::ConnectionSilent;
            attempt.record.outcome = isSilent ? TryOutcome::TimedOut : TryOutcome::Cut;
            co_return;
        }
        if (data->empty()) {
            break;
        }
        body += *data;
    }
    if (stream.status() == 200) {
        AnswerReader(*m_call).judgeBody(body, attempt.record);
    } else {
        attempt.record.outcome = TryOutcome::Refused;
        AnswerReader::readError(body, attempt.record);
    }
}

asio::awaitable<void> Caller::readEvents(HttpResponseStream &stream, Attempt &attempt)
{
    AnswerReader reader(*m_call);
    TryRecord &record = attempt.record;
    std::int64_t last = record.startTime;
    absl::Status status;
    for (;;) {
        const auto data = co_await stream.read(m_settings.timeout);
        status = data.status();
        if (!data.ok() || data->empty()) {
            break;
        }
        if (reader.addEvents(*data)) {
            const std::int64_t now = recordTime();
            if (record.firstTokenSpan == 0) {
                record.firstTokenSpan = std::max<std::int64_t>(1, now - record.startTime);
            } else {
                attempt.times.gaps.emplace_back(now - last);
            }
            record.longestGap = std::max(record.longestGap, now - last);
            last = now;
        }
        if (m_call->isSlowReader) {
            co_await sleepFor(m_settings.slowReadInterval);
        }
    }
    record.longestGap = std::max(record.longestGap, recordTime() - last);
    reader.judgeStream(status.ok(), record);
    if (failureCode(status) == FailureCode::ConnectionSilent && record.outcome == TryOutcome::Cut) {
        record.outcome = TryOutcome::TimedOut;
    }
}

bool Caller::isRetried(const Attempt &attempt, int tries) const
{
    if (tries >= m_settings.maximumTries) {
        return false;
    }
    const TryRecord &record = attempt.record;
    switch (record.outcome) {
    case TryOutcome::Whole:
    case TryOutcome::Mixed:
        return false;
    case TryOutcome::NotConnected:
        return true;
    case TryOutcome::Cut:
    case TryOutcome::TimedOut:
        return !record.key.empty();
    case TryOutcome::Refused:
        if (record.told == ToldOutcome::Unknown) {
            return !record.key.empty();
        }
        return m_settings.isRefusalRetried && record.told == ToldOutcome::NotRun && record.isRetryAfterGiven;
    }
    return false;
}

}
