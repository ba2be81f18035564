#pragma once

#include "base/objectstore.h"
#include "base/randomsource.h"
#include "base/timerservice.h"

#include <memory>
#include <string>

namespace RadishSwitch
{

/// Announces this process to the other processes of the fleet by an object in the platform's store.
///
/// After a restart the process finds its object unchanged and writes nothing, so a restart causes no update to the
/// other processes. The object does not tell whether the process is running; the processes that call it find that out.
class PeerAnnouncement
{
public:
    PeerAnnouncement(ObjectStore &store, TimerService &timers, RandomSource &random, const std::string &instance,
                     std::string value);
    ~PeerAnnouncement();

    PeerAnnouncement(const PeerAnnouncement &) = delete;
    PeerAnnouncement &operator=(const PeerAnnouncement &) = delete;

    /// Makes one call to the store in most cases. On the fleet's first start the store has no object yet, so the
    /// process writes its object without reading. On later starts it reads the object and writes it only if the value
    /// differs.
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
