#pragma once

#include "base/timerservice.h"
#include "serving/crashreport.h"
#include "workerpool.h"

#include <absl/container/flat_hash_map.h>

#include <absl/status/statusor.h>

#include <cstdint>
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

    WriterProbe(WorkerPool &workers, TimerService &timers);

    /// Calls back once, never from inside this call, with what was found out after this call. Calls for the same
    /// incarnation share a question, but not one that was asked before them.
    void probe(const EndpointIncarnation &incarnation, const std::string &address, Callback callback);

private:
    /// A question, repeated where its connection is lost.
    struct Question {
        EndpointIncarnation incarnation;
        std::string address;
        /// How often it may still be asked.
        int left = 0;
        Instant end;
    };

    struct Waiters {
        /// Those whose question is on its way.
        std::vector<Callback> asked;
        /// Those that wait for the next question.
        std::vector<Callback> next;
    };

    void askNext(const EndpointIncarnation &incarnation, const std::string &address);
    void ask(Question question);
    void handleAnswer(Question question, const absl::StatusOr<std::int64_t> &start);
    void finish(const EndpointIncarnation &incarnation, const std::string &address, WriterState state);

    WorkerPool &m_workers;
    TimerService &m_timers;
    absl::flat_hash_map<EndpointIncarnation, Waiters> m_waiters;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
