#pragma once

#include "base/timerservice.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace RadishSwitch
{

/// The deadline of one connection. All members are used on the connection's strand, and the callback comes there; it
/// may be destroyed on any thread, after which no callback comes.
///
/// A connection gets a new deadline with every read and write. Moving it is an assignment: the timer beneath runs on
/// and looks at the deadline when it fires, so that a busy connection costs no timer operations.
class Watchdog
{
public:
    Watchdog(boost::asio::any_io_executor strand, std::function<void()> onExpired);
    ~Watchdog();

    Watchdog(const Watchdog &) = delete;
    Watchdog &operator=(const Watchdog &) = delete;

    /// Expires `span` from now, in place of the earlier deadline.
    void expireAfter(Duration span);

    void clear();

    /// Whether the deadline that was set last has passed.
    bool isExpired() const;

    /// How long after the deadline that passed last the callback came: this process was busy meanwhile.
    Duration lateness() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
