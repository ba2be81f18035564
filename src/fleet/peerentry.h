#pragma once

#include "serving/homedirectory.h"

#include <absl/status/statusor.h>

#include <string>

namespace RadishSwitch
{

/// Prefix of the objects in the store by which the processes of the fleet find each other. Each instance has one
/// object.
inline constexpr char kPeersPrefix[] = "gateways/";

/// Returns the value of the object that announces a process.
std::string writePeerEntry(const FleetPeer &peer);

/// Parses the value of such an object. Fails with ObjectMalformed if the value can't be parsed.
absl::StatusOr<FleetPeer> readPeerEntry(const std::string &value);

}
