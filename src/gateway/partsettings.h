#pragma once

#include "callservices.h"
#include "fleetparts.h"
#include "gatewayadapter.h"
#include "gatewaysettings.h"
#include "httpserver.h"
#include "limits/intakebudget.h"
#include "limits/retrybudget.h"
#include "loadsubscription.h"
#include "serving/callgate.h"
#include "serving/objectfollower.h"
#include "serving/rotationpolicy.h"

/// Derives the settings of the components of a gateway from the settings of the gateway. Values that operators cannot
/// set are constants here.
namespace RadishSwitch
{

FleetStoreSettings storeSettings(const GatewaySettings &settings);
ObjectFollowerSettings followerSettings(const GatewaySettings &settings);
ObjectFollowerSettings reportFollowerSettings(const GatewaySettings &settings);

/// Time without a message after which the gateway that watches the store for others is considered lost.
Duration relayTimeout(const GatewaySettings &settings);

RetrySettings retrySettings(const GatewaySettings &settings);
CallTimes callTimes(const GatewaySettings &settings);
AnswerMemorySettings answerMemorySettings(const GatewaySettings &settings);
CallGateSettings gateSettings(const GatewaySettings &settings);
/// Null if the bandwidth of the link is unknown: then no bytes are counted.
LinkTraffic *countedTraffic(const GatewaySettings &settings, LinkTraffic &traffic);

EndpointConnectionSettings connectionSettings(const GatewaySettings &settings, LinkTraffic &traffic);
IntakeBudgetSettings intakeBudgetSettings(const GatewaySettings &settings);
HttpServerSettings callerServerSettings(const GatewaySettings &settings, RequestIntake &intake, LinkTraffic &traffic);
LoadShedderSettings shedderSettings(const GatewaySettings &settings);
LoadSubscriptionSettings loadSubscriptionSettings(const GatewaySettings &settings);
RotationSettings rotationSettings(const GatewaySettings &settings);

}
