#include "runstream.h"

#include "asyncresult.h"
#include "wireconversion.h"

#include <optional>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr Duration kReattachPause = std::chrono::milliseconds(100);

}

RunStream::RunStream(MessageClientSource &clients, const AgentLife &agent, boost::asio::any_io_executor executor,
                     RequestId request, AttemptId attempt)
    : m_client(clients.client(agent.address))
    , m_incarnation(agent.incarnation)
    , m_executor(std::move(executor))
    , m_request(std::move(request))
    , m_attempt(std::move(attempt))
{
}

RunStream::~RunStream()
{
    if (m_reader) {
        m_reader->stream()->cancel();
    }
}

void RunStream::start(const wire::RunRequest &run)
{
    open("/run", run.SerializeAsString());
}

void RunStream::attach(bool mayStillCome)
{
    wire::AttachRequest message;
    message.set_request_id(m_request.value());
    message.set_attempt_id(m_attempt.value());
    message.set_offset(m_offset);
    message.set_agent_incarnation(m_incarnation.value());
    message.set_may_still_come(mayStillCome);
    open("/attach", message.SerializeAsString());
}

std::uint64_t RunStream::offset() const
{
    return m_offset;
}

void RunStream::setOffset(std::uint64_t offset)
{
    m_offset = offset;
}

void RunStream::open(const std::string &path, std::string frame)
{
    if (m_reader) {
        m_reader->stream()->cancel();
    }
    m_reader = MessageReader::attach(m_client->open(path, std::move(frame)), m_executor);
}

boost::asio::awaitable<absl::StatusOr<wire::RunUpdate>> RunStream::next(Instant deadline, TimerService &timers)
{
    Instant unreachableUntil = Instant::max();
    while (true) {
        const Duration left = deadline - timers.now();
        if (left <= Duration::zero()) {
            co_return makeFailure(FailureCode::DeadlineExceeded, "the request's deadline has passed");
        }
        const absl::StatusOr<std::string> frame = co_await m_reader->next(left);
        if (frame.ok()) {
            absl::StatusOr<std::optional<wire::RunUpdate>> update = accept(*frame);
            if (!update.ok()) {
                co_return update.status();
            }
            if (*update) {
                co_return std::move(**update);
            }
            continue;
        }
        if (failureCode(frame.status()) == FailureCode::DeadlineExceeded) {
            continue;
        }
        if (unreachableUntil == Instant::max()) {
            unreachableUntil = timers.now() + kReattachPatience;
        }
        if (!co_await reattach(std::min(unreachableUntil, deadline), timers)) {
            co_return frame.status();
        }
    }
}

// The connection may be gone while the run goes on. A new connection is tried at once, then with short pauses, until
// the agent answers or it must be taken as dead.
boost::asio::awaitable<bool> RunStream::reattach(Instant until, TimerService &timers)
{
    if (timers.now() >= until) {
        co_return false;
    }
    co_await awaitPause(timers, kReattachPause);
    attach();
    co_return true;
}

std::optional<wire::RunUpdate> RunStream::takeReady()
{
    while (std::optional<std::string> frame = m_reader->takeReady()) {
        absl::StatusOr<std::optional<wire::RunUpdate>> update = accept(*frame);
        if (update.ok() && *update) {
            return std::move(**update);
        }
    }
    return std::nullopt;
}

// A frame for another attempt belongs to another run of the request, whose bytes would be mixed into this answer; it
// is dropped. So is what a replay sends again: the caller has it already.
absl::StatusOr<std::optional<wire::RunUpdate>> RunStream::accept(const std::string &frame)
{
    absl::StatusOr<wire::RunUpdate> update = parseFrame<wire::RunUpdate>(frame);
    if (!update.ok()) {
        return update.status();
    }
    if (update->attempt_id() != m_attempt.value()) {
        return std::nullopt;
    }
    if (update->has_head()) {
        if (std::exchange(m_hasHead, true)) {
            return std::nullopt;
        }
    }
    if (update->has_chunk()) {
        wire::AnswerChunk &chunk = *update->mutable_chunk();
        const std::uint64_t end = chunk.offset() + chunk.data().size();
        if (chunk.offset() > m_offset) {
            return makeFailure(FailureCode::MalformedMessage, "a part of the answer is missing");
        }
        if (end <= m_offset) {
            return std::nullopt;
        }
        chunk.mutable_data()->erase(0, m_offset - chunk.offset());
        chunk.set_offset(m_offset);
        m_offset = end;
    }
    return std::optional<wire::RunUpdate>(std::move(*update));
}

}
