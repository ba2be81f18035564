#pragma once

#include "crashprobe.h"
#include "crashreports.h"
#include "partbars.h"

#include <string>

namespace RadishSwitch
{

/// Keeps requests, and parts of prompts, that have crashed endpoints away from further endpoints, whichever gateway
/// receives them.
class PoisonGuard
{
public:
    /// `onCrashed` is called for endpoints that crashed while they ran calls of this gateway.
    PoisonGuard(WorkerPool &workers, ObjectStore &store, EndpointConnections &connections, TimerService &timers,
                RandomSource &random, const std::string &instance, CrashProbe::CrashCallback onCrashed);
    ~PoisonGuard();

    /// Whether any crash is known at all. Otherwise the fingerprints of requests need not be computed.
    bool hasSuspects() const
    {
        return !m_detector.isEmpty() || !m_parts.isEmpty();
    }

    /// PoisonRequest if the request must not be sent to endpoints.
    absl::Status check(const RequestFingerprint &request, const SharedPrompt &prompt);

    /// Whether this one call may be sent though a part of its prompt is barred, to find out whether it still has to be.
    bool takeTrial(const SharedPrompt &prompt);

    /// The number of crashes attributed to the request.
    int crashes(const RequestFingerprint &request) const
    {
        return m_detector.countedCrashes(request);
    }

    /// The connection broke during the run, which may mean that the endpoint has crashed.
    void noteBroken(CrashedRun run, const std::string &address);

    /// An endpoint has answered the request completely, without crashing.
    void noteAnswered(const RequestFingerprint &request, const SharedPrompt &prompt);

    /// An endpoint has been writing an answer to the prompt for longer than a crash at its beginning would take.
    void noteAnswering(const SharedPrompt &prompt);

    CrashReports &reports()
    {
        return m_reports;
    }

    PartBars &partBars()
    {
        return m_bars;
    }

    std::size_t barredCount() const
    {
        return m_detector.barredCount();
    }

    std::size_t barredPartCount() const
    {
        return m_parts.barredCount();
    }

private:
    void scheduleUpdates();
    Duration exonerationDelay();
    void updateParts();
    void reportExonerated();

    TimerService &m_timers;
    RandomSource &m_random;
    PoisonDetector m_detector;
    PoisonPartDetector m_parts;
    CrashProbe m_probe;
    CrashReports m_reports;
    PartBars m_bars;
    TimerId m_updateTimer = 0;
    TimerId m_exonerationTimer = 0;
};

}
