#pragma once

#include "serving/crashreport.h"
#include "workerpool.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// What is known of the process that wrote an answer, after the connection of that answer has ended.
enum class WriterState {
    /// The same process still runs, so that it has ended the connection itself.
    Runs,
    /// Another process has its address, or none.
    Ended,
    /// It did not answer in time.
    Unknown,
};

/// The name of a state in logs and metrics, such as "runs". Stable.
std::string_view writerStateName(WriterState state);

/// Asks endpoints whether the process that wrote an answer still runs.
///
/// Where the end of the connection is the end of the answer, a process that is killed ends the answer as well: its
/// kernel closes its connections in good order. A process that answers with the start of the same incarnation after
/// the end of the connection was not killed before it.
class WriterProbe
{
public:
    using Callback = std::function<void(WriterState)>;

    explicit WriterProbe(WorkerPool &workers);

    /// Calls back once, never from inside this call, with what was found out after this call. Calls for the same
    /// incarnation share a question, but not one that was asked before them.
    void probe(const EndpointIncarnation &incarnation, const std::string &address, Callback callback);

private:
    struct Waiters {
        /// Those whose question is on its way.
        std::vector<Callback> asked;
        /// Those that wait for the next question.
        std::vector<Callback> next;
    };

    void ask(const EndpointIncarnation &incarnation, const std::string &address);
    void finish(const EndpointIncarnation &incarnation, const std::string &address, WriterState state);

    WorkerPool &m_workers;
    absl::flat_hash_map<EndpointIncarnation, Waiters> m_waiters;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
