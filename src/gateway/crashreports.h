#pragma once

#include "base/objectstore.h"
#include "base/randomsource.h"
#include "serving/objectlistener.h"
#include "serving/poisondetector.h"
#include "serving/poisonpartdetector.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace RadishSwitch
{

/// Key prefix of the objects by which gateways exchange crash reports and barred requests. Each object is written once
/// and never changed.
inline constexpr char kCrashPrefix[] = "news/crash.";

/// Shares crash reports among the gateways through the platform's store. Every gateway that can reach the store has the
/// same reports, also after a restart or a network partition.
class CrashReports : public ObjectListener
{
public:
    /// `onChanged` is called when a report was handed to the detectors.
    CrashReports(ObjectStore &store, TimerService &timers, RandomSource &random, std::string instance,
                 PoisonDetector &detector, PoisonPartDetector &parts, std::function<void()> onChanged);
    ~CrashReports() override;

    /// The report takes effect in this gateway at once, and in the others once it is written to the store.
    void addCrashed(const CrashedRun &run);
    /// As `addCrashed`, for a request with earlier crashes that an endpoint has now answered completely.
    void addAnswered(const RequestFingerprint &request);
    /// Tells the other gateways of parts that endpoints have answered since crashes.
    void addExonerated(std::vector<ExoneratedPart> exonerated);

    /// Removes objects from the store whose retention period is over.
    void removeExpired();

    void objectsListed(const std::vector<StoredObject> &objects) override;
    void objectsChanged(const std::vector<StoredObject> &objects) override;

private:
    struct Known {
        std::uint64_t version = 0;
        Instant removeAt{};
    };

    void add(const CrashReport &part);
    void apply(const std::string &source, const CrashReport &report);
    void flush();
    void write(const std::string &key, const std::string &value, int failures);
    void applyObject(const StoredObject &object);
    void forget(const std::string &key);
    void noteBarred(const std::vector<RequestFingerprint> &requests);
    void writeBarred(const RequestFingerprint &request);
    Duration jitter(Duration maximum);

    ObjectStore &m_store;
    TimerService &m_timers;
    RandomSource &m_random;
    const std::string m_instance;
    PoisonDetector &m_detector;
    PoisonPartDetector &m_parts;
    const std::function<void()> m_onChanged;
    /// The report that is not written yet, and the key that it will have in the store.
    CrashReport m_pending;
    std::string m_pendingKey;
    TimerId m_timer = 0;
    std::map<std::string, Known> m_known;
    /// Keys of this gateway's own reports that the watch of the store has not returned yet.
    std::set<std::string> m_ownReports;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
