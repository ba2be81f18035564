#include "writerprobe.h"

#include "asyncresult.h"
#include "base/failure.h"
#include "endpointreportreader.h"
#include "log.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace RadishSwitch
{

namespace net = boost::asio;

namespace
{

const Log kLog("call");

/// Bounds each question.
constexpr Duration kStartTimeout = std::chrono::milliseconds(500);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(150);
/// An endpoint with too many connections resets new ones, as does something before an ended one that goes on accepting
/// for it. The first answers one of these questions.
constexpr int kQuestions = 4;
constexpr Duration kPause = std::chrono::milliseconds(20);

/// Whether a question was lost, or got bytes that are no answer.
bool isUnanswered(const absl::Status &status)
{
    const FailureCode code = failureCode(status);
    return code == FailureCode::ConnectionLost || code == FailureCode::MessageTooLarge;
}

}

std::string_view writerStateName(WriterState state)
{
    switch (state) {
    case WriterState::Runs:
        return "runs";
    case WriterState::Ended:
        return "ended";
    case WriterState::Lost:
        return "lost";
    case WriterState::Unknown:
        break;
    }
    return "unknown";
}

WriterProbe::WriterProbe(WorkerPool &workers, TimerService &timers, EndpointConnections &connections,
                         EndedCallback onEnded)
    : m_workers(workers)
    , m_timers(timers)
    , m_connections(connections)
    , m_onEnded(std::move(onEnded))
{
}

void WriterProbe::probe(const EndpointIncarnation &incarnation, const std::string &address, Callback callback)
{
    const auto [it, isFirst] = m_waiters.try_emplace(incarnation);
    it->second.push_back(std::move(callback));
    if (isFirst) {
        net::co_spawn(m_workers.context(), ask(incarnation, address), net::detached);
    }
}

// Those that come while a question is on its way wait for the next one.
net::awaitable<void> WriterProbe::ask(EndpointIncarnation incarnation, std::string address)
{
    const std::weak_ptr<int> alive = m_alive;
    while (!alive.expired() && !m_waiters[incarnation].empty()) {
        const std::vector<Callback> asked = std::exchange(m_waiters[incarnation], {});
        const WriterState state = co_await find(incarnation, address);
        if (alive.expired()) {
            co_return;
        }
        if (state != WriterState::Runs) {
            kLog.info("endpoint no longer runs as it did when it wrote an answer",
                      {field("endpoint", incarnation.endpoint.value()), field("address", address),
                       field("born", incarnation.startedAtMilliseconds), field("writer", writerStateName(state))});
        }
        for (const Callback &callback : asked) {
            callback(state);
        }
    }
    if (!alive.expired()) {
        m_waiters.erase(incarnation);
    }
}

net::awaitable<WriterState> WriterProbe::find(const EndpointIncarnation &incarnation, const std::string &address)
{
    const std::weak_ptr<int> alive = m_alive;
    for (int n = 0; n < kQuestions; ++n) {
        std::optional<WriterState> state = co_await findByStart(incarnation, address);
        if (!state && !alive.expired()) {
            state = co_await findByConnecting(address);
        }
        if (state || alive.expired()) {
            co_return state.value_or(WriterState::Unknown);
        }
        co_await awaitPause(m_timers, kPause);
        if (alive.expired()) {
            co_return WriterState::Unknown;
        }
    }
    co_return WriterState::Lost;
}

// Nothing if the question had no answer.
net::awaitable<std::optional<WriterState>> WriterProbe::findByStart(const EndpointIncarnation &incarnation,
                                                                    const std::string &address)
{
    const std::weak_ptr<int> alive = m_alive;
    const auto ask = [this, &address](auto done) {
        makeEndpointReportReader(m_workers, address)->readStart(kStartTimeout, std::move(done));
    };
    const auto start = co_await awaitCallback<absl::StatusOr<std::int64_t>>(ask);
    if (isUnanswered(start.status())) {
        co_return std::nullopt;
    }
    if (failureCode(start.status()) == FailureCode::ConnectionSilent) {
        co_return WriterState::Unknown;
    }
    const bool isOther =
        start.ok() && incarnation.startedAtMilliseconds > 0 && *start != incarnation.startedAtMilliseconds;
    if (isOther && *start > incarnation.startedAtMilliseconds && !alive.expired()) {
        m_onEnded(incarnation, *start);
    }
    co_return isOther ? WriterState::Ended : WriterState::Runs;
}

// Nothing if something listens there.
net::awaitable<std::optional<WriterState>> WriterProbe::findByConnecting(const std::string &address)
{
    const EndpointConnections::ConnectionPointer connection = m_connections.create(address);
    const absl::Status status = co_await connection->connect(kConnectTimeout);
    connection->close();
    if (connection->wasRefused()) {
        co_return WriterState::Ended;
    }
    co_return status.ok() ? std::nullopt : std::optional(WriterState::Unknown);
}

}
