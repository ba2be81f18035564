#include "serving/poisondetector.h"

#include <algorithm>

namespace RadishSwitch
{

PoisonDetector::PoisonDetector(PoisonSettings settings)
    : m_settings(settings)
{
}

std::vector<RequestFingerprint> PoisonDetector::addReport(const std::string &source, const CrashReport &report,
                                                          Instant now)
{
    std::vector<RequestFingerprint> suspects;
    for (const CrashedRun &run : report.crashed) {
        if (note(source, run, now)) {
            suspects.push_back(run.request);
        }
    }
    for (const RequestFingerprint &request : report.answered) {
        clear(request);
    }
    // The request with the most crashes is judged first, since it explains the crashes of the requests that ran beside
    // it.
    std::ranges::stable_sort(suspects, std::greater<>(), [this](const RequestFingerprint &request) {
        return crashes(request);
    });
    std::vector<RequestFingerprint> barred;
    for (const RequestFingerprint &request : suspects) {
        const auto it = m_requests.find(request);
        const bool isNew = it != m_requests.end() && !it->second.isBarred();
        if (isNew && countedCrashes(request) >= m_settings.crashThreshold) {
            it->second.isBarredHere = true;
            barred.push_back(request);
        }
    }
    forgetOldest();
    return barred;
}

bool PoisonDetector::note(const std::string &source, const CrashedRun &run, Instant now)
{
    const auto [it, isNew] = m_requests.try_emplace(run.request);
    if (isNew) {
        m_order.push_back(run.request);
    }
    std::vector<Crash> &crashes = it->second.crashes;
    const bool isKnown = std::ranges::any_of(crashes, [&run](const Crash &crash) {
        return crash.incarnation == run.incarnation;
    });
    if (isKnown) {
        return false;
    }
    crashes.push_back({run.incarnation, now, source, run.crashesBefore});
    m_ranAt[run.incarnation].push_back(run.request);
    return true;
}

void PoisonDetector::clear(const RequestFingerprint &request)
{
    const auto it = m_requests.find(request);
    if (it == m_requests.end()) {
        return;
    }
    for (const Crash &crash : it->second.crashes) {
        const auto ran = m_ranAt.find(crash.incarnation);
        if (ran != m_ranAt.end() && std::erase(ran->second, request) > 0 && ran->second.empty()) {
            m_ranAt.erase(ran);
        }
    }
    m_requests.erase(it);
}

void PoisonDetector::forget(const std::string &source)
{
    std::vector<RequestFingerprint> touched;
    for (auto &[request, known] : m_requests) {
        const auto isOfSource = [&source](const Crash &crash) {
            return crash.source == source;
        };
        if (std::erase_if(known.crashes, isOfSource) > 0) {
            known.isBarredHere = known.isBarredHere && countedCrashes(request) >= m_settings.crashThreshold;
            touched.push_back(request);
        }
    }
    for (const RequestFingerprint &request : touched) {
        eraseIfEmpty(request);
    }
    absl::erase_if(m_ranAt, [this](const auto &entry) {
        return std::ranges::none_of(entry.second, [this](const RequestFingerprint &request) {
            return m_requests.contains(request);
        });
    });
}

void PoisonDetector::bar(const RequestFingerprint &request)
{
    const auto [it, isNew] = m_requests.try_emplace(request);
    if (isNew) {
        m_order.push_back(request);
    }
    it->second.isBarredElsewhere = true;
    forgetOldest();
}

void PoisonDetector::lift(const RequestFingerprint &request)
{
    const auto it = m_requests.find(request);
    if (it != m_requests.end()) {
        it->second.isBarredElsewhere = false;
        eraseIfEmpty(request);
    }
}

bool PoisonDetector::isBarred(const RequestFingerprint &request) const
{
    const auto it = m_requests.find(request);
    return it != m_requests.end() && it->second.isBarred();
}

std::size_t PoisonDetector::crashes(const RequestFingerprint &request) const
{
    const auto it = m_requests.find(request);
    return it == m_requests.end() ? 0 : it->second.crashes.size();
}

std::size_t PoisonDetector::barredCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_requests, [](const auto &entry) {
        return entry.second.isBarred();
    }));
}

int PoisonDetector::countedCrashes(const RequestFingerprint &request) const
{
    const auto it = m_requests.find(request);
    if (it == m_requests.end()) {
        return 0;
    }
    int unexplained = 0;
    int sequential = 0;
    int counted = 0;
    int inWindow = 0;
    std::optional<Instant> windowStart;
    for (const Crash &crash : it->second.crashes) {
        if (isExplained(crash.incarnation, request)) {
            continue;
        }
        ++unexplained;
        sequential = std::max(sequential, crash.crashesBefore + 1);
        if (!windowStart || crash.knownAt - *windowStart > m_settings.coincidenceWindow) {
            windowStart = crash.knownAt;
            inWindow = 0;
        }
        counted += inWindow < m_settings.maxCoincidentCrashes ? 1 : 0;
        ++inWindow;
    }
    // The run's count may include crashes that were cleared since, so it is limited to those still known.
    return std::max(counted, std::min(sequential, unexplained));
}

bool PoisonDetector::isExplained(const EndpointIncarnation &incarnation, const RequestFingerprint &request) const
{
    const auto ran = m_ranAt.find(incarnation);
    if (ran == m_ranAt.end()) {
        return false;
    }
    const std::size_t own = crashes(request);
    return std::ranges::any_of(ran->second, [&](const RequestFingerprint &other) {
        return other != request && isBarred(other) && crashes(other) > own;
    });
}

void PoisonDetector::eraseIfEmpty(const RequestFingerprint &request)
{
    const auto it = m_requests.find(request);
    if (it != m_requests.end() && it->second.crashes.empty() && !it->second.isBarred()) {
        m_requests.erase(it);
    }
}

// m_order still holds requests that were cleared. Clearing them again has no effect.
void PoisonDetector::forgetOldest()
{
    while (m_order.size() > m_settings.maxRequests) {
        clear(m_order.front());
        m_order.pop_front();
    }
}

}
