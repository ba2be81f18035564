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

WriterState stateOf(const EndpointIncarnation &incarnation, const absl::StatusOr<std::int64_t> &start)
{
    if (start.ok()) {
        return *start == incarnation.startedAtMilliseconds ? WriterState::Runs : WriterState::Ended;
    }
    return failureCode(start.status()) == FailureCode::ConnectionLost ? WriterState::Ended : WriterState::Unknown;
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

WriterProbe::WriterProbe(WorkerPool &workers)
    : m_workers(workers)
{
}

void WriterProbe::probe(const EndpointIncarnation &incarnation, const std::string &address, Callback callback)
{
    Waiters &waiters = m_waiters[incarnation];
    waiters.next.push_back(std::move(callback));
    if (waiters.asked.empty()) {
        ask(incarnation, address);
    }
}

void WriterProbe::ask(const EndpointIncarnation &incarnation, const std::string &address)
{
    Waiters &waiters = m_waiters[incarnation];
    waiters.asked = std::exchange(waiters.next, {});
    const std::weak_ptr<int> alive = m_alive;
    makeEndpointReportReader(m_workers, address)
        ->readStart(kTimeout, [this, alive, incarnation, address](const absl::StatusOr<std::int64_t> &start) {
            if (alive.expired()) {
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
        });
}

void WriterProbe::finish(const EndpointIncarnation &incarnation, const std::string &address, WriterState state)
{
    const std::vector<Callback> answered = std::exchange(m_waiters[incarnation].asked, {});
    if (m_waiters[incarnation].next.empty()) {
        m_waiters.erase(incarnation);
    } else {
        ask(incarnation, address);
    }
    for (const Callback &callback : answered) {
        callback(state);
    }
}

}
