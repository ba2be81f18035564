#pragma once

#include "agentlife.h"
#include "base/identifier.h"
#include "base/timerservice.h"
#include "messageclientsource.h"
#include "messagereader.h"
#include "wire.h"

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace RadishSwitch
{

/// One attempt at an agent as its entry sees it: a sequence of updates that survives the loss of the connection.
///
/// When the connection is lost or goes silent, the stream attaches anew to the run at the offset that it has reached,
/// so that the caller notices a pause and nothing else.
class RunStream
{
public:
    RunStream(MessageClientSource &clients, const AgentLife &agent, boost::asio::any_io_executor executor,
              RequestId request, AttemptId attempt);
    ~RunStream();

    /// Sends the run to the agent.
    void start(const wire::RunRequest &run);

    /// Joins a run from its first byte. When another entry sends it (`mayStillCome`), it need not have reached the
    /// agent yet, and must not be barred there.
    void attach(bool mayStillCome = false);

    /// The next update of this attempt. Updates of other attempts and bytes that came before are dropped.
    ///
    /// DeadlineExceeded when none came until then; RunUnknown when the agent, asked anew after a lost connection, knows
    /// nothing of the run; ConnectionLost when it could not be reached for `kReattachPatience`.
    boost::asio::awaitable<absl::StatusOr<wire::RunUpdate>> next(Instant deadline, TimerService &timers);

    /// An update that is there already.
    std::optional<wire::RunUpdate> takeReady();

    /// Bytes of the answer handed over so far.
    std::uint64_t offset() const;

    /// Begins at a later byte: what came before was delivered by an earlier attempt.
    void setOffset(std::uint64_t offset);

    static constexpr Duration kReattachPatience = std::chrono::seconds(4);

private:
    void open(const std::string &path, std::string frame);
    boost::asio::awaitable<bool> reattach(Instant until, TimerService &timers);
    absl::StatusOr<std::optional<wire::RunUpdate>> accept(const std::string &frame);

    std::shared_ptr<MessageClient> m_client;
    IncarnationId m_incarnation;
    boost::asio::any_io_executor m_executor;
    RequestId m_request;
    AttemptId m_attempt;
    std::shared_ptr<MessageReader> m_reader;
    std::uint64_t m_offset = 0;
    bool m_hasHead = false;
};

}
