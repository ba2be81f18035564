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

/// A store whose relaxed lists are up to one second old.
class StaleListStore : public ForwardingStore
{
public:
    StaleListStore(ObjectStore &store, TimerService &timers)
        : ForwardingStore(store)
    {
        timers.every(std::chrono::seconds(1), [this] {
            ForwardingStore::list(kPeersPrefix, [this](const absl::StatusOr<StoreChanges> &changes) {
                m_staleList = *changes;
            });
        });
    }

    void listRelaxed(const std::string &, Callback<StoreChanges> callback) override
    {
        callback(m_staleList);
    }

private:
    StoreChanges m_staleList;
};

}

class HomeCandidacyTest : public testing::Test
{
protected:
    struct Candidate {
        std::unique_ptr<PeerAnnouncement> announcement;
        std::unique_ptr<HomeCandidacy> candidacy;
    };

    void addHomes(int count, const std::string &zone, int target)
    {
        HomeCandidacySettings settings;
        settings.targetPerZone = target;
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

    void runFor(Duration span)
    {
        constexpr Duration kStep = std::chrono::milliseconds(5);
        for (Duration done{}; done < span; done += kStep) {
            timers.advance(kStep);
            tasks.runAll();
        }
    }

    std::size_t announcedHomes() const
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

// Each endpoint has a home beside it. Guards against a list of peers that grows with the number of endpoints because
// every home announces itself. Homes that read the same stale list can announce themselves together, so the upper bound
// is above the target.
TEST_F(HomeCandidacyTest, homes_manyInZone_fewAnnounceThemselves)
{
    addHomes(125, "a", 16);
    runFor(std::chrono::seconds(12));
    EXPECT_GE(announcedHomes(), 16U);
    EXPECT_LE(announcedHomes(), 60U);
}

TEST_F(HomeCandidacyTest, homes_fewInZone_allAnnounceThemselves)
{
    addHomes(9, "a", 16);
    addHomes(4, "b", 16);
    runFor(std::chrono::seconds(12));
    EXPECT_EQ(announcedHomes(), 13U);
}

TEST_F(HomeCandidacyTest, homes_noTargetSet_allAnnounceThemselvesAtOnce)
{
    addHomes(125, "a", 0);
    runFor(std::chrono::milliseconds(50));
    EXPECT_EQ(announcedHomes(), 125U);
}

// Homes that were not needed at first have to check again later. Guards against a zone that is left without homes when
// the announced ones are removed.
TEST_F(HomeCandidacyTest, announcedHomes_removed_othersTakeTheirPlace)
{
    addHomes(60, "a", 16);
    runFor(std::chrono::seconds(12));
    const auto before = store.objects();
    for (const auto &[key, object] : before) {
        store.remove(key, object.version, [](const absl::Status &) {});
    }
    runFor(std::chrono::seconds(150));
    EXPECT_GE(announcedHomes(), 16U);
}
