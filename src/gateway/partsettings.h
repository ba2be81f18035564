#pragma once

#include "callservices.h"
#include "fleetparts.h"
#include "gatewayadapter.h"
#include "gatewaysettings.h"
#include "httpserver.h"
#include "limits/retrybudget.h"
#include "serving/callgate.h"
#include "serving/objectfollower.h"

/// What the settings of a gateway mean for each of its parts. Spans that no operator sets stand here with their
/// reasons.
namespace RadishSwitch
{

FleetStoreSettings storeSettings(const GatewaySettings &settings);
ObjectFollowerSettings followerSettings(const GatewaySettings &settings);
ObjectFollowerSettings reportFollowerSettings();

/// How long the gateway that watches for others may be without a word.
Duration relayTimeout(const GatewaySettings &settings);

RetrySettings retrySettings(const GatewaySettings &settings);
CallTimes callTimes(const GatewaySettings &settings);
CallGateSettings gateSettings(const GatewaySettings &settings);
HttpServerSettings callerServerSettings(RequestIntake &intake);
LoadShedderSettings shedderSettings(const GatewaySettings &settings);

}
