#pragma once

#include "http2transport.h"
#include "listedinstances.h"
#include "membership/fleetmembership.h"
#include "monitor.h"
#include "table/tablefollower.h"
#include "table/tablepeerport.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace RadishSwitch
{

/// The other entries: heartbeats to and from them, and the table passed on between them.
class PeerLinks : public TablePeerPort
{
public:
    PeerLinks(MessageClients &clients, TimerService &timers, FleetMembership &membership, Monitor &monitor,
              EntryMember self);
    ~PeerLinks() override;

    /// Serves "/peer" and "/table". The follower must outlive the server.
    void serve(Http2MessageServer &server, TableFollower &follower);

    /// Begins to send heartbeats.
    void start();

    void setListed(const std::vector<PlatformInstance> &instances);

    /// Says from now on in each heartbeat that this entry leaves, and tells it at once.
    void setLeaving();

    void pullTable(const std::string &peer, std::uint64_t fromRevision,
                   std::function<void(absl::StatusOr<std::string>)> callback) override;

private:
    class Link;

    void beat();
    void applyHeartbeat(const EntryMember &member);

    MessageClients &m_clients;
    TimerService &m_timers;
    FleetMembership &m_membership;
    Monitor &m_monitor;
    TableFollower *m_follower = nullptr;
    TimerId m_timer = 0;
    std::mutex m_mutex;
    EntryMember m_self;
    std::map<std::string, bool> m_listed;
    std::map<std::string, std::shared_ptr<Link>> m_links;
};

}
