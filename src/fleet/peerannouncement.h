#pragma once

#include "base/objectstore.h"
#include "base/randomsource.h"
#include "base/timerservice.h"

#include <memory>
#include <string>

namespace RadishSwitch
{

/// Makes this process known to the others through the platform's store.
///
/// A restart finds its object as it left it and writes nothing, so that restarts cost the fleet no news. Whether a
/// process lives is for those to find out who call it.
class PeerAnnouncement
{
public:
    PeerAnnouncement(ObjectStore &store, TimerService &timers, RandomSource &random, const std::string &instance,
                     std::string value);
    ~PeerAnnouncement();

    PeerAnnouncement(const PeerAnnouncement &) = delete;
    PeerAnnouncement &operator=(const PeerAnnouncement &) = delete;

    /// On the fleet's first start nothing is there to be read; after it, what is there is mostly what this process
    /// would write. Either way most starts make one call.
    void start(bool isFirstStart);

private:
    void read();
    void write(std::uint64_t version);
    void retryLater();

    ObjectStore &m_store;
    TimerService &m_timers;
    RandomSource &m_random;
    const std::string m_key;
    const std::string m_value;
    TimerId m_timer = 0;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
