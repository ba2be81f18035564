#pragma once

#include "agentmetrics.h"
#include "answerreaders.h"
#include "base/timerservice.h"
#include "endpoint.h"
#include "endpointmonitor.h"
#include "messagestream.h"
#include "requests/answerbuffer.h"
#include "requests/runtable.h"
#include "runinprogress.h"
#include "wire.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace RadishSwitch
{

struct AgentRunsSettings {
    /// How this agent is reached.
    std::string address;
    /// The endpoint's name.
    std::string endpoint;
    /// How long the endpoint may take to a connection, and to the first byte of an answer before its silence is told.
    Duration firstByteTimeout = std::chrono::seconds(30);
    /// How long it may be silent after that before it is told.
    Duration silenceTimeout = std::chrono::seconds(3);
    RunTableSettings runTable = {};
    AnswerBufferSettings answerBuffer = {};
};

/// The runs of one endpoint: starts them, keeps their answers, and sends these to whoever is attached.
///
/// A run belongs to no stream. When the entry that asked for it is lost, it goes on and its answer is kept; only a bar
/// with `cancel`, or its deadline, ends it.
///
/// Thread-safe. Lock order: `m_mutex` guards the run table, the answers and the readers; under it the monitor's mutex
/// and the inner locks of streams, timers and endpoint calls may be taken, all of which call nothing back in place.
/// Nobody takes `m_mutex` while holding one of those.
class AgentRuns : public std::enable_shared_from_this<AgentRuns>
{
public:
    AgentRuns(Endpoint &endpoint, EndpointMonitor &monitor, AgentMetrics &metrics, TimerService &timers,
              AgentRunsSettings settings);

    /// Begins to drop what has been kept for long enough.
    void start();

    /// Refuses a run that was meant for an earlier life of this agent.
    void refuseForOtherLife(const wire::RunRequest &request, const MessageStreamPointer &stream);

    /// Decides on an attempt and sends its updates on the stream.
    void run(const wire::RunRequest &request, const MessageStreamPointer &stream);

    /// Sends a run's answer from an offset on.
    void attach(const wire::AttachRequest &request, const MessageStreamPointer &stream);

    /// The stream of a run or an attachment has ended at the other side.
    void noteStreamClosed(const MessageStream *stream, const absl::Status &status);

    wire::RunRecord bar(const wire::BarRequest &request);
    wire::FindRunsAnswer find(const wire::FindRunsRequest &request);
    wire::ClosePortionsAnswer close(const wire::ClosePortionsRequest &request);

    /// Refuses every new run from now on.
    void setLeaving();

    /// Nothing runs, nobody is attached, and no answer of the last seconds waits to be fetched.
    bool isIdle() const;

    int runningCount() const;
    std::size_t keptBytes() const;

private:
    void startRun(const wire::RunRequest &request, const MessageStreamPointer &stream);
    EndpointCallbacks callbacksFor(const AttemptId &attempt);
    void addReader(const MessageStreamPointer &stream, AnswerReaders::ReaderPointer reader, const RequestId &request);
    void refuse(const MessageStreamPointer &stream, const std::string &attempt, const absl::Status &status);
    void takeHead(const AttemptId &attempt, AnswerHead head);
    void takeBytes(const AttemptId &attempt, const std::string &bytes);
    void takeEnd(const AttemptId &attempt, const absl::Status &status);
    void abandon(const AttemptId &attempt, const absl::Status &status);
    void watchSilence(const AttemptId &attempt, RunInProgress &run, Duration span);
    void lookForSilence(const AttemptId &attempt);
    void endRun(const AttemptId &attempt, const RunResult &result);
    void noteNotDone(const AttemptId &attempt, const absl::Status &status);
    void pumpAll(const AttemptId &attempt);
    void pump(const AnswerReaders::ReaderPointer &reader);
    wire::RunRecord describe(const RunRecord &record) const;
    void noteDropped();
    void expire();

    Endpoint &m_endpoint;
    EndpointMonitor &m_monitor;
    AgentMetrics &m_metrics;
    TimerService &m_timers;
    const AgentRunsSettings m_settings;

    mutable std::mutex m_mutex;
    /// Of runs that go on with an earlier attempt's answer: few, since they come from engines that failed.
    std::map<AttemptId, std::int64_t> m_priorTokens;
    RunTable m_table;
    AnswerBuffer m_answers;
    absl::flat_hash_map<AttemptId, std::unique_ptr<RunInProgress>> m_runs;
    AnswerReaders m_readers;
};

}
