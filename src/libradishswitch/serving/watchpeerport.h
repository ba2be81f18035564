#pragma once

#include "base/objectstore.h"
#include "base/timerservice.h"

#include <string>

namespace RadishSwitch
{

/// Watches objects through the watch logs of other processes.
class WatchPeerPort
{
public:
    virtual ~WatchPeerPort() = default;

    /// Same as WatchLog::watch at a peer. Fails with ConnectionLost or ConnectionSilent if the peer can't be reached or
    /// does not answer within `timeout`.
    virtual void watch(const std::string &peer, const std::string &prefix, std::uint64_t fromVersion, Duration timeout,
                       ObjectStore::Callback<StoreChanges> callback) = 0;
};

}
