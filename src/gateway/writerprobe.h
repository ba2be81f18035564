#pragma once

#include "base/timerservice.h"
#include "endpointconnections.h"
#include "serving/crashreport.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace RadishSwitch
{

/// What is known of the process that wrote an answer, some time after it wrote.
enum class WriterState {
    /// The same process still runs. If the connection of the answer has ended, it has ended that itself.
    Runs,
    /// Its address refuses connections, or a process that started at another time answers there.
    Ended,
    /// Its address takes connections, and each question was lost: the process has ended, or has too many connections.
    Lost,
    /// Nobody answered in time.
    Unknown,
};

/// The name of a state in logs and metrics, such as "runs". Stable.
std::string_view writerStateName(WriterState state);

/// Asks endpoints whether the process that wrote an answer still runs, and is of the listed incarnation.
///
/// Where the end of the connection is the end of the answer, a process that is killed ends the answer as well: its
/// kernel closes its connections in good order. A process that answers after that was not killed. The start that it
/// reports tells it from a new process under the same id; endpoints that report none are told by an answer of any kind,
/// since the platform does not give the address of an ended process to another one at once.
class WriterProbe
{
public:
    using Callback = std::function<void(WriterState)>;
    /// Gets the incarnation that has ended, and the start of the next one if that has answered.
    using EndedCallback =
        std::function<void(const EndpointIncarnation &ended, std::optional<std::int64_t> nextStartMilliseconds)>;

    WriterProbe(WorkerPool &workers, TimerService &timers, EndpointConnections &connections, EndedCallback onEnded);

    /// Calls back once, never from inside this call, with what was found out after this call. Calls for the same
    /// incarnation share a question, but not one that was asked before them. Without a start in `incarnation` whoever
    /// answers counts as the writer.
    void probe(const EndpointIncarnation &incarnation, const std::string &address, Callback callback);

private:
    boost::asio::awaitable<void> ask(EndpointIncarnation incarnation, std::string address);
    boost::asio::awaitable<WriterState> find(const EndpointIncarnation &incarnation, const std::string &address);
    boost::asio::awaitable<std::optional<WriterState>> findByStart(const EndpointIncarnation &incarnation,
                                                                   const std::string &address);
    boost::asio::awaitable<std::optional<WriterState>> findByConnecting(const std::string &address);

    WorkerPool &m_workers;
    TimerService &m_timers;
    EndpointConnections &m_connections;
    const EndedCallback m_onEnded;
    /// Those that wait for the next question, for each incarnation that is being asked.
    absl::flat_hash_map<EndpointIncarnation, std::vector<Callback>> m_waiters;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
