#pragma once

#include "base/objectstore.h"
#include "base/timerservice.h"

#include <string>

namespace RadishSwitch
{

/// The way to another gateway's watch logs.
class WatchPeerPort
{
public:
    virtual ~WatchPeerPort() = default;

    /// As WatchLog::watch at a peer; ConnectionLost or ConnectionSilent when it can't be reached or does not answer
    /// within `timeout`.
    virtual void watch(const std::string &peer, const std::string &prefix, std::uint64_t fromVersion, Duration timeout,
                       ObjectStore::Callback<StoreChanges> callback) = 0;
};

}
