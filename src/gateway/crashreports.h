#pragma once

#include "base/objectstore.h"
#include "base/randomsource.h"
#include "serving/objectlistener.h"
#include "serving/poisondetector.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace RadishSwitch
{

/// Keys of the objects by which gateways tell one another of crashes and of barred requests. Each is written once and
/// never changed.
inline constexpr char kCrashPrefix[] = "news/crash.";

/// Brings what the gateways of the fleet know of crashes together, through the platform's store: whoever reaches it
/// knows the same, also after a restart or a cut.
class CrashReports : public ObjectListener
{
public:
    CrashReports(ObjectStore &store, TimerService &timers, RandomSource &random, std::string instance,
                 PoisonDetector &detector);
    ~CrashReports() override;

    /// Holds here at once, and elsewhere as soon as it is written.
    void addCrashed(const CrashedRun &run);
    void addAnswered(const RequestFingerprint &request);

    /// Removes what is remembered no longer.
    void removeExpired();

    void objectsListed(const std::vector<StoredObject> &objects) override;
    void objectsChanged(const std::vector<StoredObject> &objects) override;

private:
    struct Known {
        std::uint64_t version = 0;
        Instant removeAt{};
    };

    void add(const CrashReport &part);
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
    /// What is not written yet, and the key that it will have.
    CrashReport m_pending;
    std::string m_pendingKey;
    TimerId m_timer = 0;
    std::map<std::string, Known> m_known;
    /// Keys of this process's own reports that have not come back from the store yet.
    std::set<std::string> m_ownReports;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
