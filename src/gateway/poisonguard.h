#pragma once

#include "crashprobe.h"
#include "crashreports.h"

namespace RadishSwitch
{

/// Keeps requests from endpoints that have crashed others, whichever gateway they come to.
class PoisonGuard
{
public:
    /// `onCrashed` hears of endpoints that crashed while they had calls of this process.
    PoisonGuard(WorkerPool &workers, ObjectStore &store, EndpointConnections &connections, TimerService &timers,
                RandomSource &random, const std::string &instance,
                std::function<void(const EndpointIncarnation &)> onCrashed);

    /// Whether there is anything to ask the rest about: fingerprints are not made for nothing.
    bool isWatching() const
    {
        return !m_detector.isEmpty();
    }

    /// PoisonRequest when the request is to be kept from endpoints.
    absl::Status check(const RequestFingerprint &request) const;

    /// Crashes that count against the request.
    int crashes(const RequestFingerprint &request) const
    {
        return m_detector.countedCrashes(request);
    }

    /// The connection broke during the run, under which the endpoint may have crashed.
    void noteBroken(const CrashedRun &run, const std::string &address);

    /// An endpoint has run the request to its end, and lives.
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
