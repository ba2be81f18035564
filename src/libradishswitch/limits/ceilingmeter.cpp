#include "limits/ceilingmeter.h"

#include "base/failure.h"

#include <algorithm>
#include <cmath>

namespace RadishSwitch
{

namespace
{

constexpr double kBurstSeconds = 1;
constexpr int kMeanRunWeight = 8;
constexpr Duration kLongestWait = std::chrono::hours(1);

void setRate(TokenBucket &bucket, double rate, Instant now)
{
    const double burst = std::max(1.0, rate * kBurstSeconds);
    if (bucket.rate() > 0) {
        bucket.setRate(rate, burst, now);
    } else {
        bucket = TokenBucket(rate, burst, now);
    }
}

std::chrono::milliseconds roundedUp(Duration wait)
{
    return std::chrono::ceil<std::chrono::milliseconds>(std::min(wait, kLongestWait));
}

}

void CeilingMeter::setCeilings(const OrganisationId &organisation, const OrganisationCeilings &ceilings, Instant now)
{
    const auto it = m_meters.find(organisation);
    if (it != m_meters.end()) {
        it->second.ceilings = ceilings;
        return applyShare(it->second, now);
    }
    Meter &meter = m_meters[organisation];
    meter.ceilings = ceilings;
    applyShare(meter, now);
}

void CeilingMeter::setShare(double shareOfFleet, Instant now)
{
    m_share = std::clamp(shareOfFleet, 0.0, 1.0);
    for (auto &[organisation, meter] : m_meters) {
        applyShare(meter, now);
    }
}

absl::Status CeilingMeter::admit(const OrganisationId &organisation, std::int64_t tokens, Instant now)
{
    const auto it = m_meters.find(organisation);
    if (it == m_meters.end()) {
        return absl::OkStatus();
    }
    Meter &meter = it->second;
    const Duration wait = waitFor(meter, tokens, now);
    if (wait > Duration::zero()) {
        return makeFailure(FailureCode::CeilingReached, organisation.value() + " has reached its ceiling",
                           roundedUp(wait));
    }
    takeFrom(meter, tokens, now);
    return absl::OkStatus();
}

Duration CeilingMeter::waitFor(const Meter &meter, std::int64_t tokens, Instant now) const
{
    Duration wait = Duration::zero();
    if (meter.ceilings.requestsPerSecond > 0) {
        wait = std::max(wait, meter.requests.waitFor(1, now));
    }
    if (meter.ceilings.tokensPerSecond > 0) {
        wait = std::max(wait, meter.tokens.waitFor(static_cast<double>(tokens), now));
    }
    if (meter.ceilings.concurrentRequests > 0 && meter.running >= concurrentLimit(meter)) {
        wait = std::max(wait, meter.meanRun / meter.running);
    }
    return wait;
}

void CeilingMeter::takeFrom(Meter &meter, std::int64_t tokens, Instant now)
{
    // Without a ceiling the bucket's rate is zero and it never refills. Tokens taken from it now would be a debt on the
    // day a ceiling is set.
    if (meter.ceilings.requestsPerSecond > 0) {
        meter.requests.take(1, now);
    }
    if (meter.ceilings.tokensPerSecond > 0) {
        meter.tokens.take(static_cast<double>(tokens), now);
    }
    ++meter.running;
}

void CeilingMeter::noteFinished(const OrganisationId &organisation, std::int64_t tokens, std::int64_t used,
                                Duration ran, Instant now)
{
    const auto it = m_meters.find(organisation);
    if (it == m_meters.end()) {
        return;
    }
    Meter &meter = it->second;
    meter.running = std::max<std::int64_t>(0, meter.running - 1);
    meter.tokens.refund(static_cast<double>(std::max<std::int64_t>(0, tokens - used)), now);
    meter.meanRun += (ran - meter.meanRun) / kMeanRunWeight;
}

void CeilingMeter::applyShare(Meter &meter, Instant now)
{
    setRate(meter.requests, meter.ceilings.requestsPerSecond * m_share, now);
    setRate(meter.tokens, meter.ceilings.tokensPerSecond * m_share, now);
}

std::int64_t CeilingMeter::concurrentLimit(const Meter &meter) const
{
    const double part = static_cast<double>(meter.ceilings.concurrentRequests) * m_share;
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(part + 1e-9));
}

}
