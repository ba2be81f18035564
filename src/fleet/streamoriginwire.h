#pragma once

#include "serving/streamoriginport.h"
#include "wire.h"

namespace RadishSwitch
{

/// Path of the streams on which gateways keep origins of streams at other processes.
inline constexpr char kStreamOriginPath[] = "/stream-origins";

wire::StreamOriginRecord toWire(const StreamOriginRecord &record);
StreamOriginRecord fromWire(const wire::StreamOriginRecord &record);

/// Without its number, as the answer.
wire::StreamOriginQuestion toWire(const StreamOriginQuery &query);
StreamOriginQuery fromWire(const wire::StreamOriginQuestion &question);

wire::StreamOriginAnswer toWire(const StreamOriginAnswer &answer);
StreamOriginAnswer fromWire(const wire::StreamOriginAnswer &answer);

}
