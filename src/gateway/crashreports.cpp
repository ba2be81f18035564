#include "crashreports.h"

#include "base/failure.h"
#include "log.h"
#include "serving/crashreportformat.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("crashes");

constexpr std::string_view kCrashReportPrefix = "news/crash.report.";
constexpr std::string_view kBarredRequestPrefix = "news/crash.barred.";
constexpr char kEmptyObject[] = "{}";

/// The calls that one crash interrupts fail within this time and are written as one report.
constexpr Duration kBatchWindow = std::chrono::milliseconds(50);
constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(100);
/// After an outage of the store, the other gateways receive pending reports within this time.
constexpr Duration kMaximumRetryDelay = std::chrono::milliseconds(1600);
/// About ten minutes of attempts, which is the retention period of a crash.
constexpr int kMaximumAttempts = 400;
/// All gateways bar a request at about the same time. Random delays up to this let one of them write it first, so that
/// the others need not.
constexpr Duration kBarredWriteSpread = std::chrono::seconds(1);
/// How long a request that crashed endpoints is remembered.
constexpr Duration kRetention = std::chrono::minutes(10);
/// Random delay before an expired object is removed, so that not all gateways remove it at once.
constexpr Duration kRemovalSpread = std::chrono::minutes(2);

std::optional<RequestFingerprint> barredRequest(const std::string &key)
{
    return key.starts_with(kBarredRequestPrefix) ? RequestFingerprint::parse(key.substr(kBarredRequestPrefix.size()))
                                                 : std::nullopt;
}

}

CrashReports::CrashReports(ObjectStore &store, TimerService &timers, RandomSource &random, std::string instance,
                           PoisonDetector &detector, PoisonPartDetector &parts, std::function<void()> onChanged)
    : m_store(store)
    , m_timers(timers)
    , m_random(random)
    , m_instance(std::move(instance))
    , m_detector(detector)
    , m_parts(parts)
    , m_onChanged(std::move(onChanged))
{
}

CrashReports::~CrashReports()
{
    m_timers.cancel(m_timer);
}

void CrashReports::addCrashed(const CrashedRun &run)
{
    kLog.info("endpoint crashed while running a request",
              {field("endpoint", run.incarnation.endpoint.value()), field("content", run.request.toString()),
               field("crashes", m_detector.crashes(run.request) + 1), field("parts", partIdsText(run.prompt.parts))});
    add({{run}, {}});
}

void CrashReports::addAnswered(const RequestFingerprint &request)
{
    kLog.info("request answered completely after earlier crashes",
              {field("content", request.toString()), field("crashes", m_detector.crashes(request))});
    const std::string key = std::string(kBarredRequestPrefix) + request.toString();
    if (const auto barred = m_known.find(key); barred != m_known.end()) {
        m_store.remove(key, barred->second.version, [](const absl::Status &) {});
    }
    add({{}, {request}});
}

void CrashReports::addExonerated(std::vector<ExoneratedPart> exonerated)
{
    kLog.info("parts of prompts answered after earlier crashes", {field("parts", exonerated.size())});
    add({{}, {}, std::move(exonerated)});
}

void CrashReports::add(const CrashReport &part)
{
    if (m_pending.isEmpty()) {
        m_pendingKey = std::string(kCrashReportPrefix) + m_instance + "." + m_random.freshName();
        m_ownReports.insert(m_pendingKey);
        m_timer = m_timers.after(kBatchWindow, [this] {
            flush();
        });
    }
    m_pending.crashed.insert(m_pending.crashed.end(), part.crashed.begin(), part.crashed.end());
    m_pending.answered.insert(m_pending.answered.end(), part.answered.begin(), part.answered.end());
    m_pending.exonerated.insert(m_pending.exonerated.end(), part.exonerated.begin(), part.exonerated.end());
    apply(m_pendingKey, part);
}

void CrashReports::apply(const std::string &source, const CrashReport &report)
{
    noteBarred(m_detector.addReport(source, report, m_timers.now()));
    m_parts.addReport(source, report, m_timers.now());
    m_onChanged();
}

void CrashReports::flush()
{
    m_timer = 0;
    write(m_pendingKey, writeCrashReport(std::exchange(m_pending, {})), 0);
}

void CrashReports::write(const std::string &key, const std::string &value, int failures)
{
    m_store.put(key, value, 0, [=, this, alive = std::weak_ptr<int>(m_alive)](const absl::StatusOr<std::uint64_t> &at) {
        // A version conflict means that the object exists: it was written by an earlier attempt whose answer was lost,
        // or by another gateway.
        if (alive.expired() || at.ok() || failureCode(at.status()) == FailureCode::VersionConflict) {
            return;
        }
        const bool isLast = failures + 1 >= kMaximumAttempts;
        kLog.warning(isLast ? "report not written, giving up" : "report not written, retrying",
                     {field("key", key), field("error", std::string(at.status().message()))});
        if (isLast) {
            return;
        }
        constexpr int kMaximumDoublings = 10;
        const Duration pause =
            std::min(kInitialRetryDelay * (1 << std::min(failures, kMaximumDoublings)), kMaximumRetryDelay);
        m_timers.after(pause / 2 + jitter(pause / 2), [=, this] {
            if (!alive.expired()) {
                write(key, value, failures + 1);
            }
        });
    });
}

void CrashReports::objectsListed(const std::vector<StoredObject> &objects)
{
    absl::flat_hash_set<std::string> listed;
    for (const StoredObject &object : objects) {
        listed.insert(object.key);
    }
    std::vector<std::string> removed;
    for (const auto &[key, known] : m_known) {
        if (!listed.contains(key)) {
            removed.push_back(key);
        }
    }
    std::ranges::for_each(removed, [this](const std::string &key) {
        forget(key);
    });
    std::vector<StoredObject> byVersion = objects;
    std::ranges::sort(byVersion, {}, &StoredObject::version);
    objectsChanged(byVersion);
}

void CrashReports::objectsChanged(const std::vector<StoredObject> &objects)
{
    for (const StoredObject &object : objects) {
        object.version == 0 ? forget(object.key) : applyObject(object);
    }
}

void CrashReports::applyObject(const StoredObject &object)
{
    const Instant removeAt = m_timers.now() + kRetention + jitter(kRemovalSpread);
    if (!m_known.try_emplace(object.key, Known{object.version, removeAt}).second) {
        return;
    }
    if (m_ownReports.erase(object.key) > 0) {
        return;
    }
    if (const std::optional<RequestFingerprint> request = barredRequest(object.key)) {
        m_detector.bar(*request);
        return;
    }
    const absl::StatusOr<CrashReport> report = readCrashReport(object.value);
    if (!report.ok()) {
        kLog.error("unreadable crash report ignored",
                   {field("key", object.key), field("error", std::string(report.status().message()))});
        return;
    }
    apply(object.key, *report);
}

void CrashReports::forget(const std::string &key)
{
    m_known.erase(key);
    if (const std::optional<RequestFingerprint> request = barredRequest(key)) {
        m_detector.lift(*request);
    } else {
        m_detector.forget(key);
        m_parts.forget(key, m_timers.now());
    }
}

void CrashReports::noteBarred(const std::vector<RequestFingerprint> &requests)
{
    for (const RequestFingerprint &request : requests) {
        kLog.warning("request barred",
                     {field("content", request.toString()), field("crashes", m_detector.crashes(request))});
        m_timers.after(jitter(kBarredWriteSpread), [this, request, alive = std::weak_ptr<int>(m_alive)] {
            if (!alive.expired()) {
                writeBarred(request);
            }
        });
    }
}

void CrashReports::writeBarred(const RequestFingerprint &request)
{
    const std::string key = std::string(kBarredRequestPrefix) + request.toString();
    if (m_detector.isBarred(request) && !m_known.contains(key)) {
        write(key, kEmptyObject, 0);
    }
}

void CrashReports::removeExpired()
{
    const Instant now = m_timers.now();
    for (auto &[key, known] : m_known) {
        if (now >= known.removeAt) {
            known.removeAt = now + jitter(kRemovalSpread);
            m_store.remove(key, known.version, [key = key](const absl::Status &status) {
                if (!status.ok() && failureCode(status) != FailureCode::ObjectMissing) {
                    kLog.warning("expired object could not be removed",
                                 {field("key", key), field("error", std::string(status.message()))});
                }
            });
        }
    }
}

Duration CrashReports::jitter(Duration maximum)
{
    return Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(maximum.count()))));
}

}
