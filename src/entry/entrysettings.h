#pragma once

#include "commonsettings.h"
#include "socketaddress.h"

namespace RadishSwitch
{

/// What an entry is told at its start.
struct EntrySettings {
    ProcessSettings process;
    FleetSettings fleet;
    /// Where callers come in.
    SocketAddress listen{"127.0.0.1", 8080};
    /// Where the fleet's other processes come in; also what the others are told unless `advertise` says otherwise.
    SocketAddress peerListen{"127.0.0.1", 8081};
    SocketAddress advertise;
    SocketAddress adminListen{"127.0.0.1", 8082};
    /// PEM files; TLS towards callers is on when both are given.
    std::string tlsCertificate;
    std::string tlsKey;
    /// Objects over which budgets are spread; the same all over the fleet and for ever.
    int ledgerShards = 64;
    /// A planned stop waits no longer than this for what is in progress.
    Duration drainTimeout = std::chrono::seconds(120);
    /// How long a leaving entry goes on serving, so that the balancer has time to see that it is not ready.
    Duration drainNotice = std::chrono::seconds(2);
    /// Agents with which this entry keeps links in each pool.
    int agentSubset = 64;
    /// An entry that is silent for so long, and not listed, is held for dead and its portions are closed.
    Duration deadAfter = std::chrono::milliseconds(1500);
};

void addEntrySettings(SettingsParser &parser, EntrySettings &settings);

}
