#pragma once

#include "crashprobe.h"
#include "crashreports.h"

namespace RadishSwitch
{

/// Keeps requests that have crashed endpoints away from further endpoints, whichever gateway receives them.
class PoisonGuard
{
public:
    /// `onCrashed` is called for endpoints that crashed while they ran calls of this gateway.
    PoisonGuard(WorkerPool &workers, ObjectStore &store, EndpointConnections &connections, TimerService &timers,
                RandomSource &random, const std::string &instance,
                std::function<void(const EndpointIncarnation &)> onCrashed);

    /// Whether any crash is known at all. Otherwise the fingerprints of requests need not be computed.
    bool hasSuspects() const
    {
        return !m_detector.isEmpty();
    }

    /// PoisonRequest if the request must not be sent to endpoints.
    absl::Status check(const RequestFingerprint &request) const;

    /// The number of crashes attributed to the request.
    int crashes(const RequestFingerprint &request) const
    {
        return m_detector.countedCrashes(request);
    }

    /// The connection broke during the run, which may mean that the endpoint has crashed.
    void noteBroken(const CrashedRun &run, const std::string &address);

    /// An endpoint has answered the request completely, without crashing.
    void noteAnswered(const RequestFingerprint &request);

    CrashReports &reports()
    {
        return m_reports;
    }

    std::size_t barredCount() const
    {
        return m_detector.barredCount();
    }

private:
    PoisonDetector m_detector;
    CrashProbe m_probe;
    CrashReports m_reports;
};

}
