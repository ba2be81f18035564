#include "poisonguard.h"

#include "base/failure.h"
#include "log.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("crashes");

/// About the retention period of crashes. A request that is repeated sooner is refused again.
constexpr std::chrono::milliseconds kRetryAfter = std::chrono::minutes(10);
/// A complete answer is reported to the other gateways if the request has at least this many crashes, since one more
/// crash may bar it.
constexpr std::size_t kMinimumCrashesToReport = 2;
/// Many gateways see a part answered at the same time. One in so many reports it within the first spread, which the
/// others have read before their delay is over. Both together are shorter than the time for which a part is suspect
/// before it is barred.
constexpr std::uint64_t kGatewaysPerEarlyReport = 16;
constexpr Duration kReportSpread = std::chrono::milliseconds(100);
constexpr Duration kLateReportDelay = std::chrono::milliseconds(300);
/// Bounds the reports of crashes: a prompt may have hundreds of parts. Those beyond are not suspected.
constexpr std::size_t kMaximumReportedParts = 256;

}

PoisonGuard::PoisonGuard(WorkerPool &workers, ObjectStore &store, EndpointConnections &connections,
                         TimerService &timers, RandomSource &random, const std::string &instance,
                         CrashProbe::CrashCallback onCrashed)
    : m_timers(timers)
    , m_random(random)
    , m_probe(workers, timers, connections, std::move(onCrashed))
    , m_reports(store, timers, random, instance, m_detector, m_parts,
                [this] {
                    scheduleUpdates();
                })
    , m_bars(store, timers, random, m_parts)
{
}

PoisonGuard::~PoisonGuard()
{
    m_timers.cancel(m_updateTimer);
    m_timers.cancel(m_exonerationTimer);
}

absl::Status PoisonGuard::check(const RequestFingerprint &request, const SharedPrompt &prompt)
{
    if (m_detector.isBarred(request)) {
        return makeFailure(FailureCode::PoisonRequest, "endpoints have crashed while running this request",
                           kRetryAfter);
    }
    const std::optional<std::uint64_t> part = m_parts.barredPart(prompt);
    if (!part) {
        return absl::OkStatus();
    }
    m_bars.noteRefused(*part);
    return makeFailure(FailureCode::PoisonRequest,
                       "endpoints have crashed when they began to answer prompts with the part " + partIdText(*part),
                       kRetryAfter);
}

bool PoisonGuard::takeTrial(const SharedPrompt &prompt)
{
    const std::optional<std::uint64_t> part = m_parts.barredPart(prompt);
    return part && m_bars.takeTrial(*part);
}

void PoisonGuard::noteBroken(CrashedRun run, const std::string &address)
{
    run.prompt.parts.resize(std::min(run.prompt.parts.size(), kMaximumReportedParts));
    const EndpointIncarnation incarnation = run.incarnation;
    m_probe.probe(incarnation, address, [this, run = std::move(run)](bool hasCrashed) {
        if (hasCrashed) {
            m_reports.addCrashed(run);
        }
    });
}

void PoisonGuard::noteAnswered(const RequestFingerprint &request, const SharedPrompt &prompt)
{
    if (m_detector.isBarred(request) || m_detector.crashes(request) >= kMinimumCrashesToReport) {
        m_reports.addAnswered(request);
    }
    noteAnswering(prompt);
}

void PoisonGuard::noteAnswering(const SharedPrompt &prompt)
{
    m_parts.noteAnswered(prompt);
    for (const std::uint64_t part : m_parts.takeLifted()) {
        kLog.warning("part of prompts no longer barred", {field("part", partIdText(part))});
        m_bars.withdraw(part);
    }
    scheduleUpdates();
}

void PoisonGuard::scheduleUpdates()
{
    if (m_parts.hasUnreported() && m_exonerationTimer == 0) {
        m_exonerationTimer = m_timers.after(exonerationDelay(), [this] {
            m_exonerationTimer = 0;
            reportExonerated();
        });
    }
    const std::optional<Instant> next = m_parts.nextUpdate();
    if (next && m_updateTimer == 0) {
        m_updateTimer = m_timers.after(std::max(*next - m_timers.now(), Duration::zero()), [this] {
            m_updateTimer = 0;
            updateParts();
        });
    }
}

Duration PoisonGuard::exonerationDelay()
{
    const bool isEarly = m_random.below(kGatewaysPerEarlyReport) == 0;
    const auto spread = m_random.below(static_cast<std::uint64_t>(kReportSpread.count()));
    return (isEarly ? Duration::zero() : kLateReportDelay) + Duration(static_cast<Duration::rep>(spread));
}

void PoisonGuard::updateParts()
{
    for (const std::uint64_t part : m_parts.update(m_timers.now())) {
        const SharedPrompt pattern = m_parts.pattern(part).value_or(SharedPrompt());
        kLog.warning("part of prompts barred",
                     {field("part", partIdText(part)), field("crashes", m_parts.crashes(part)),
                      field("refused_with_parts", partIdsText(pattern.parts)), field("pool", pattern.pool.value()),
                      field("organisation", pattern.organisation.value())});
        m_bars.announce(part);
    }
    scheduleUpdates();
}

void PoisonGuard::reportExonerated()
{
    std::vector<ExoneratedPart> exonerated = m_parts.takeUnreported();
    if (!exonerated.empty()) {
        m_reports.addExonerated(std::move(exonerated));
    }
}

}
