#pragma once

#include "base/objectstore.h"
#include "base/randomsource.h"
#include "base/timerservice.h"
#include "serving/homedirectory.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace RadishSwitch
{

struct LoadPeersSettings {
    /// On the first start of the fleet the homes announce themselves within this time, and the list is read after it,
    /// plus a random part of `spread`.
    Duration firstDelay = std::chrono::seconds(9);
    Duration spread = std::chrono::seconds(1);
    /// The list is read again after this time, less a random part of `spread`, so that homes that started together
    /// don't read it together for ever.
    Duration interval = std::chrono::seconds(30);
    /// Least time between two reads.
    Duration leastInterval = std::chrono::seconds(2);
};

/// Reads the list of the fleet's processes from the store from time to time. A relaxed list costs a tenth of a call;
/// following each change would cost a watch for each home.
class LoadPeers
{
public:
    using Peers = std::map<std::string, FleetPeer>;
    using Callback = std::function<void(const Peers &peers)>;

    LoadPeers(ObjectStore &store, TimerService &timers, RandomSource &random, Callback onListed,
              LoadPeersSettings settings = {});
    ~LoadPeers();

    LoadPeers(const LoadPeers &) = delete;
    LoadPeers &operator=(const LoadPeers &) = delete;

    void start(bool isFirstStart);

    /// Reads the list as soon as the least interval allows.
    void refresh();

private:
    void schedule(Duration delay);
    void read();
    void handleList(const std::vector<StoredObject> &objects);
    Duration randomSpread();

    ObjectStore &m_store;
    TimerService &m_timers;
    RandomSource &m_random;
    const Callback m_onListed;
    const LoadPeersSettings m_settings;
    TimerId m_timer = 0;
    Instant m_dueAt{};
    /// When the last read began.
    Instant m_readAt{};
    bool m_isStarted = false;
    bool m_isReading = false;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
