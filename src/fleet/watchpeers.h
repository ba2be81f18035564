#pragma once

#include "http2transport.h"
#include "serving/homedirectory.h"
#include "serving/watchlog.h"
#include "serving/watchpeerport.h"

#include <map>

namespace RadishSwitch
{

/// Path of the streams on which gateways watch the store through homes and other gateways.
inline constexpr char kWatchPath[] = "/watch";

/// Answers a watch or list request on `stream` from the store itself, for gateways that are cut off from the store.
void serveFromStore(ObjectStore &store, const MessageStreamPointer &stream);

/// Watches the store through other processes, and lets other gateways watch through the watch logs of this gateway.
class WatchPeers : public WatchPeerPort
{
public:
    WatchPeers(MessageClients &clients, const HomeDirectory &homes, TimerService &timers);

    void watch(const std::string &peer, const std::string &prefix, std::uint64_t fromVersion, Duration timeout,
               ObjectStore::Callback<StoreChanges> callback) override;

    /// Returns the watch log of a prefix, creating it if needed. This gateway's follower of the prefix must fill it.
    WatchLog &log(const std::string &prefix);

    /// Serves a stream that another gateway has opened. Cancels it if there is no log of the requested prefix.
    void serve(const MessageStreamPointer &stream);

private:
    void answer(const MessageStreamPointer &stream, const std::string &frame);

    MessageClients &m_clients;
    const HomeDirectory &m_homes;
    TimerService &m_timers;
    std::map<std::string, WatchLog> m_logs;
};

}
