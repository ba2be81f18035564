#include "peerentry.h"

#include "base/boundedtext.h"
#include "base/failure.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

constexpr char kAddressField[] = "address";
constexpr char kWeightField[] = "weight";
constexpr char kZoneField[] = "zone";
constexpr char kKindField[] = "kind";
constexpr char kGatewayKind[] = "gateway";
constexpr char kHomeKind[] = "home";

}

std::string writePeerEntry(const FleetPeer &peer)
{
    return nlohmann::json{{kAddressField, peer.address},
                          {kWeightField, peer.weight},
                          {kZoneField, peer.zone},
                          {kKindField, peer.kind == PeerKind::Home ? kHomeKind : kGatewayKind}}
        .dump();
}

absl::StatusOr<FleetPeer> readPeerEntry(const std::string &value)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(value);
        FleetPeer peer;
        peer.address = json.at(kAddressField).get<std::string>();
        peer.weight = json.value(kWeightField, peer.weight);
        peer.zone = json.value(kZoneField, peer.zone);
        const std::string kind = json.value(kKindField, std::string(kGatewayKind));
        if (kind != kGatewayKind && kind != kHomeKind) {
            return makeFailure(FailureCode::ObjectMalformed, "unknown kind of process: " + boundedText(kind));
        }
        peer.kind = kind == kHomeKind ? PeerKind::Home : PeerKind::Gateway;
        return peer;
    } catch (const nlohmann::json::exception &e) {
        return makeFailure(FailureCode::ObjectMalformed, boundedText(e.what()));
    }
}

}
