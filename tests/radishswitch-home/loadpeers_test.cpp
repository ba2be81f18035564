#include "base/forwardingstore.h"
#include "loadpeers.h"
#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "peerentry.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;
using namespace std::chrono_literals;

namespace
{

class ListCountingStore : public ForwardingStore
{
public:
    using ForwardingStore::ForwardingStore;

    void listRelaxed(const std::string &prefix, Callback<StoreChanges> callback) override
    {
        ++lists;
        ForwardingStore::listRelaxed(prefix, std::move(callback));
    }

    int lists = 0;
};

}

class LoadPeersTest : public testing::Test
{
protected:
    void put(const std::string &name, const std::string &value)
    {
        store.put(kPeersPrefix + name, value, 0, [](const absl::StatusOr<std::uint64_t> &) {});
        tasks.runAll();
    }

    void runFor(Duration span)
    {
        constexpr Duration kStep = 50ms;
        for (Duration done{}; done < span; done += kStep) {
            timers.advance(kStep);
            tasks.runAll();
        }
    }

    ManualTaskQueue tasks;
    VirtualTimerService timers;
    SeededRandom random{3};
    MemoryObjectStore store{tasks};
    ListCountingStore counted{store};
    LoadPeers::Peers listed;
    LoadPeers peers{counted, timers, random, [this](const LoadPeers::Peers &all) {
                        listed = all;
                    }};
};

// Homes announce themselves within 8 s on the first start. Guards against a list that lacks most of them for 30 s.
TEST_F(LoadPeersTest, firstStart_listsAfterTheAnnouncements)
{
    peers.start(true);
    runFor(8'900ms);
    EXPECT_EQ(counted.lists, 0);
    put("home-1", writePeerEntry({"10.0.0.1:1", 1, "a", PeerKind::Home}));
    runFor(1'200ms);
    EXPECT_EQ(counted.lists, 1);
    EXPECT_EQ(listed.count("home-1"), 1U);
}

TEST_F(LoadPeersTest, laterStart_listsAtOnceAndEveryHalfMinute)
{
    put("home-1", writePeerEntry({"10.0.0.1:1", 1, "a", PeerKind::Home}));
    peers.start(false);
    runFor(50ms);
    EXPECT_EQ(listed.size(), 1U);
    runFor(119s);
    EXPECT_GE(counted.lists, 4);
    EXPECT_LE(counted.lists, 5);
}

// Guards against a list in every tick while a zone is without homes, from each home.
TEST_F(LoadPeersTest, refresh_repeated_listsAtMostEveryTwoSeconds)
{
    peers.start(false);
    for (int n = 0; n < 40; ++n) {
        runFor(250ms);
        peers.refresh();
    }
    EXPECT_GE(counted.lists, 4);
    EXPECT_LE(counted.lists, 6);
}

// Guards against one unreadable entry that hides all other processes.
TEST_F(LoadPeersTest, unreadableEntry_isLeftOut)
{
    put("broken", "{");
    put("home-1", writePeerEntry({"10.0.0.1:1", 1, "a", PeerKind::Home}));
    peers.start(false);
    runFor(50ms);
    EXPECT_EQ(listed.size(), 1U);
}

TEST_F(LoadPeersTest, storeUnavailable_listsAgainSoon)
{
    store.setUnavailable(true);
    peers.start(false);
    runFor(1s);
    store.setUnavailable(false);
    put("home-1", writePeerEntry({"10.0.0.1:1", 1, "a", PeerKind::Home}));
    runFor(3s);
    EXPECT_EQ(listed.size(), 1U);
}
