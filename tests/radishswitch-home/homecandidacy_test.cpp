#include "base/forwardingstore.h"
#include "homecandidacy.h"
#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "peerentry.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

using namespace RadishSwitch;

namespace
{

/// A store whose cheap lists are a second old.
class StaleListStore : public ForwardingStore
{
public:
    StaleListStore(ObjectStore &store, TimerService &timers)
        : ForwardingStore(store)
    {
        timers.every(std::chrono::seconds(1), [this] {
            ForwardingStore::list(kPeersPrefix, [this](const absl::StatusOr<StoreChanges> &changes) {
                m_old = *changes;
            });
        });
    }

    void listRelaxed(const std::string &, Callback<StoreChanges> callback) override
    {
        callback(m_old);
    }

private:
    StoreChanges m_old;
};

}

class HomeCandidacyTest : public testing::Test
{
protected:
    struct Candidate {
        std::unique_ptr<PeerAnnouncement> announcement;
        std::unique_ptr<HomeCandidacy> candidacy;
    };

    void addHomes(int count, const std::string &zone, int wanted)
    {
        HomeCandidacySettings settings;
        settings.wantedInZone = wanted;
        for (int n = 0; n < count; ++n) {
            const std::string name = "home-" + zone + "-" + std::to_string(n);
            const FleetPeer peer{"10.0.0.1:1", 1, zone, PeerKind::Home};
            Candidate &it = candidates.emplace_back();
            it.announcement = std::make_unique<PeerAnnouncement>(stale, timers, random, name, writePeerEntry(peer));
            it.candidacy =
                std::make_unique<HomeCandidacy>(stale, timers, random, *it.announcement, name, zone, settings);
            it.candidacy->start(true);
        }
    }

    void pass(Duration span)
    {
        constexpr Duration kStep = std::chrono::milliseconds(5);
        for (Duration done{}; done < span; done += kStep) {
            timers.advance(kStep);
            tasks.runAll();
        }
    }

    std::size_t known() const
    {
        return store.objects().size();
    }

    ManualTaskQueue tasks;
    VirtualTimerService timers;
    SeededRandom random{11};
    MemoryObjectStore store{tasks};
    StaleListStore stale{store, timers};
    std::vector<Candidate> candidates;
};

// Guards against a list of peers that grows with the endpoints.
TEST_F(HomeCandidacyTest, manyHomesOfAZone_fewMakeThemselvesKnown)
{
    addHomes(125, "a", 16);
    pass(std::chrono::seconds(12));
    EXPECT_GE(known(), 16U);
    EXPECT_LE(known(), 60U);
}

TEST_F(HomeCandidacyTest, fewHomesOfAZone_allMakeThemselvesKnown)
{
    addHomes(9, "a", 16);
    addHomes(4, "b", 16);
    pass(std::chrono::seconds(12));
    EXPECT_EQ(known(), 13U);
}

TEST_F(HomeCandidacyTest, noBoundSet_allMakeThemselvesKnownAtOnce)
{
    addHomes(125, "a", 0);
    pass(std::chrono::milliseconds(50));
    EXPECT_EQ(known(), 125U);
}

// Guards against homes that look forever and are never needed, and against a zone that is left without any.
TEST_F(HomeCandidacyTest, knownHomesRemoved_othersTakeTheirPlace)
{
    addHomes(60, "a", 16);
    pass(std::chrono::seconds(12));
    const auto before = store.objects();
    for (const auto &[key, object] : before) {
        store.remove(key, object.version, [](const absl::Status &) {});
    }
    pass(std::chrono::seconds(150));
    EXPECT_GE(known(), 16U);
}
