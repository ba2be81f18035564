#include "entrysettings.h"

#include "base/failure.h"

namespace RadishSwitch
{

namespace
{

constexpr int kMostLedgerShards = 4096;
constexpr int kLargestSubset = 10'000;

absl::Status checkTls(const EntrySettings &settings)
{
    if (settings.tlsCertificate.empty() != settings.tlsKey.empty()) {
        return makeFailure(FailureCode::InvalidSettings, "--tls-certificate and --tls-key must be given together");
    }
    return absl::OkStatus();
}

}

void addEntrySettings(SettingsParser &parser, EntrySettings &settings)
{
    addProcessSettings(parser, settings.process);
    addFleetSettings(parser, settings.fleet);
    parser.add("listen", settings.listen, "where callers come in");
    parser.add("peer-listen", settings.peerListen, "where the fleet's other processes come in");
    parser.add("advertise", settings.advertise, "what the others are told; the peer address when it is not given");
    parser.add("admin-listen", settings.adminListen, "where /metrics, /livez, /readyz and /status are served");
    parser.add("tls-certificate", settings.tlsCertificate, "PEM file of the certificate shown to callers");
    parser.add("tls-key", settings.tlsKey, "PEM file of its private key");
    parser.addNumber("ledger-shards", settings.ledgerShards, 1, kMostLedgerShards,
                     "objects over which budgets are spread; fixed for the life of a ledger");
    parser.add("drain-timeout", settings.drainTimeout, "how long a planned stop waits for what is in progress");
    parser.add("drain-notice", settings.drainNotice, "how long it goes on serving after it has said that it leaves");
    parser.addNumber("agent-subset", settings.agentSubset, 1, kLargestSubset,
                     "agents of each pool with which this entry keeps links");
    parser.add("dead-after", settings.deadAfter, "silence after which an unlisted entry's portions are closed");
    parser.addCheck([&settings] {
        return checkTls(settings);
    });
}

}
