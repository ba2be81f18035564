#pragma once

#include "serving/loadcollector.h"
#include "wire.h"

#include <absl/status/statusor.h>

#include <string>

namespace RadishSwitch
{

/// Path of the streams on which homes and gateways report their load to the collector of a zone, and on which the
/// collector sends load updates to gateways.
inline constexpr char kLoadPath[] = "/load";

/// Size above which a frame on "/load" is not read. A message with 48 endpoints and 100 gateways takes less than a
/// fifth of it. The number of reports is bounded as well, since an empty one takes only two bytes.
inline constexpr std::size_t kMaximumLoadFrameBytes = 64 * 1024;
inline constexpr int kMaximumReportsPerFrame = 1000;

/// Reports as they travel, and back. Neither direction rejects anything: a value that the type of the other side cannot
/// hold becomes the nearest one that it can, and the classes that keep the reports check ranges. Not a number becomes
/// zero.
wire::EndpointLoadReport endpointLoadToWire(const EndpointLoadReport &report);
EndpointLoadReport endpointLoadFromWire(const wire::EndpointLoadReport &message);

wire::GatewayLoadReport gatewayLoadToWire(const GatewayLoadReport &report);
GatewayLoadReport gatewayLoadFromWire(const wire::GatewayLoadReport &message);

wire::LoadNews loadNewsToWire(const LoadCollector::News &news);
LoadCollector::News loadNewsFromWire(const wire::LoadNews &message);

/// Reads a frame of a "/load" stream; MessageTooLarge if it is oversized, MalformedMessage if it is not a LoadMessage.
/// A message of a kind that is not known here is read as one without content, to be ignored by the receiver.
absl::StatusOr<wire::LoadMessage> parseLoadFrame(const std::string &frame);

}
