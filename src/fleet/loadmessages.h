#pragma once

#include "serving/loadcollector.h"
#include "wire.h"

namespace RadishSwitch
{

/// Path of the streams on which homes and gateways report their load to a collector.
inline constexpr char kLoadPath[] = "/load";

/// The messages on these streams, and back. What is out of range for a message is clamped when it is written; whoever
/// reads a message checks the values.
wire::EndpointLoadReport endpointLoadToWire(const EndpointLoadReport &report);
EndpointLoadReport endpointLoadFromWire(const wire::EndpointLoadReport &message);

wire::GatewayLoadReport gatewayLoadToWire(const GatewayLoadReport &report);
GatewayLoadReport gatewayLoadFromWire(const wire::GatewayLoadReport &message);

wire::LoadNews loadNewsToWire(const LoadCollector::News &news);
LoadCollector::News loadNewsFromWire(const wire::LoadNews &message);

}
