#include "poisonguard.h"

#include "base/failure.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

/// About the retention period of crashes. A request that is repeated sooner is refused again.
constexpr std::chrono::milliseconds kRetryAfter = std::chrono::minutes(10);
/// A complete answer is reported to the other gateways if the request has at least this many crashes, since one more
/// crash may bar it.
constexpr std::size_t kMinimumCrashesToReport = 2;

}

PoisonGuard::PoisonGuard(WorkerPool &workers, ObjectStore &store, EndpointConnections &connections,
                         TimerService &timers, RandomSource &random, const std::string &instance,
                         std::function<void(const EndpointIncarnation &)> onCrashed)
    : m_probe(workers, timers, connections, std::move(onCrashed))
    , m_reports(store, timers, random, instance, m_detector)
{
}

absl::Status PoisonGuard::check(const RequestFingerprint &request) const
{
    if (!m_detector.isBarred(request)) {
        return absl::OkStatus();
    }
    return makeFailure(FailureCode::PoisonRequest, "endpoints have crashed while running this request", kRetryAfter);
}

void PoisonGuard::noteBroken(const CrashedRun &run, const std::string &address)
{
    m_probe.notifyIfCrashed(run.incarnation, address, [this, run] {
        m_reports.addCrashed(run);
    });
}

void PoisonGuard::noteAnswered(const RequestFingerprint &request)
{
    if (m_detector.isBarred(request) || m_detector.crashes(request) >= kMinimumCrashesToReport) {
        m_reports.addAnswered(request);
    }
}

}
