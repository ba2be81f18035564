#include "writerprobe.h"

#include "base/failure.h"
#include "endpointreportreader.h"
#include "log.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("call");

/// The end of the answer waits for this long at most.
constexpr Duration kTimeout = std::chrono::milliseconds(500);

/// An endpoint that runs resets connections beyond its maximum, which looks like the end of its process. A lost
/// connection counts as that end when it is lost this often.
constexpr int kQuestions = 4;
constexpr Duration kQuestionPause = std::chrono::milliseconds(20);

bool isLost(const absl::Status &status)
{
    return !status.ok() && failureCode(status) == FailureCode::ConnectionLost;
}

bool tellsStart(const EndpointIncarnation &incarnation)
{
    return incarnation.startedAtMilliseconds > 0;
}

// Where the entry of an endpoint tells no start, whoever answers at its address is taken for the writer: the question
// follows the end of the answer at once, and a new process takes longer to start.
WriterState stateOf(const EndpointIncarnation &incarnation, const absl::StatusOr<std::int64_t> &start)
{
    if (start.ok() && !tellsStart(incarnation)) {
        return WriterState::Runs;
    }
    if (start.ok()) {
        return *start == incarnation.startedAtMilliseconds ? WriterState::Runs : WriterState::Ended;
    }
    return isLost(start.status()) ? WriterState::Ended : WriterState::Unknown;
}

}

std::string_view writerStateName(WriterState state)
{
    switch (state) {
    case WriterState::Runs:
        return "runs";
    case WriterState::Ended:
        return "ended";
    case WriterState::Unknown:
        break;
    }
    return "unknown";
}

WriterProbe::WriterProbe(WorkerPool &workers, TimerService &timers)
    : m_workers(workers)
    , m_timers(timers)
{
}

void WriterProbe::probe(const EndpointIncarnation &incarnation, const std::string &address, Callback callback)
{
    Waiters &waiters = m_waiters[incarnation];
    waiters.next.push_back(std::move(callback));
    if (waiters.asked.empty()) {
        askNext(incarnation, address);
    }
}

void WriterProbe::askNext(const EndpointIncarnation &incarnation, const std::string &address)
{
    Waiters &waiters = m_waiters[incarnation];
    waiters.asked = std::exchange(waiters.next, {});
    // Without a start a later answer could be that of a new process.
    const int questions = tellsStart(incarnation) ? kQuestions : 1;
    ask({incarnation, address, questions, m_timers.now() + kTimeout});
}

void WriterProbe::ask(Question question)
{
    --question.left;
    const Duration timeout = question.end - m_timers.now();
    const std::weak_ptr<int> alive = m_alive;
    makeEndpointReportReader(m_workers, question.address)
        ->readStart(timeout, [this, alive, question](const absl::StatusOr<std::int64_t> &start) {
            if (!alive.expired()) {
                handleAnswer(question, start);
            }
        });
}

void WriterProbe::handleAnswer(Question question, const absl::StatusOr<std::int64_t> &start)
{
    const EndpointIncarnation &incarnation = question.incarnation;
    const std::string &address = question.address;
    const bool hasTime = m_timers.now() + kQuestionPause < question.end;
    if (isLost(start.status()) && question.left > 0 && hasTime) {
        const std::weak_ptr<int> alive = m_alive;
        m_timers.after(kQuestionPause, [this, alive, question] {
            if (!alive.expired()) {
                ask(question);
            }
        });
        return;
    }
    const WriterState state = stateOf(incarnation, start);
    if (state != WriterState::Runs) {
        kLog.info("endpoint no longer runs as it did when it wrote an answer",
                  {field("endpoint", incarnation.endpoint.value()), field("address", address),
                   field("born", incarnation.startedAtMilliseconds), field("writer", writerStateName(state)),
                   field("reason", std::string(start.status().message()))});
    }
    finish(incarnation, address, state);
}

void WriterProbe::finish(const EndpointIncarnation &incarnation, const std::string &address, WriterState state)
{
    const std::vector<Callback> answered = std::exchange(m_waiters[incarnation].asked, {});
    if (m_waiters[incarnation].next.empty()) {
        m_waiters.erase(incarnation);
    } else {
        askNext(incarnation, address);
    }
    for (const Callback &callback : answered) {
        callback(state);
    }
}

}
