#pragma once

#include "base/objectstore.h"
#include "base/randomsource.h"
#include "serving/objectlistener.h"
#include "serving/poisonpartdetector.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace RadishSwitch
{

/// Key prefix of the objects by which gateways announce barred parts of prompts; the part's id follows.
inline constexpr char kPartBarPrefix[] = "news/poison_part.";

/// Announces barred parts to the other gateways through the platform's store. Reports of crashes expire; the
/// announcement is renewed for as long as prompts with the part arrive, at whichever gateway, and then expires too.
///
/// A part may have been barred by chance, or the software that it crashed may have been replaced. From time to time one
/// gateway of the fleet therefore lets a single call through: if an endpoint answers it, the bar is lifted. The times
/// between such trials grow tenfold, since each of a true poison part crashes one more endpoint.
class PartBars : public ObjectListener
{
public:
    PartBars(ObjectStore &store, TimerService &timers, RandomSource &random, PoisonPartDetector &detector);

    /// This gateway bars the part from now on.
    void announce(std::uint64_t part);

    /// An endpoint has answered a prompt with the part.
    void withdraw(std::uint64_t part);

    /// A call was refused because of the part. Renews the announcement if that is due.
    void noteRefused(std::uint64_t part);

    /// Whether one call with the part may be sent although it is barred. Asked for each such call; the next one after a
    /// trial was granted to this gateway gets it.
    bool takeTrial(std::uint64_t part);

    /// Removes announcements from the store that were not renewed for a long time.
    void removeExpired();

    void objectsListed(const std::vector<StoredObject> &objects) override;
    void objectsChanged(const std::vector<StoredObject> &objects) override;

private:
    struct Announced {
        std::uint64_t version = 0;
        SharedPrompt pattern;
        /// Number of trials granted so far, and since when the time until the next one counts.
        int trials = 0;
        Instant trialsSince{};
        Instant renewedAt{};
        Instant removeAt{};
    };

    bool isDue(std::uint64_t part) const;
    bool isTrialDue(const Announced &announced) const;
    void write(std::uint64_t part);
    void remove(std::uint64_t part, std::uint64_t version);
    void applyObject(std::uint64_t part, const StoredObject &object);
    void forget(std::uint64_t part);
    Duration jitter(Duration maximum);

    ObjectStore &m_store;
    TimerService &m_timers;
    RandomSource &m_random;
    PoisonPartDetector &m_detector;
    std::map<std::uint64_t, Announced> m_announced;
    /// When this gateway last tried to write an announcement.
    std::map<std::uint64_t, Instant> m_triedAt;
    /// Parts of which this gateway may let one call through.
    std::set<std::uint64_t> m_trials;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
