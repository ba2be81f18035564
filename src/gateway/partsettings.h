#pragma once

#include "base/randomsource.h"
#include "budgets/budgetholdersettings.h"
#include "budgets/ledgersettings.h"
#include "gatewayadapter.h"
#include "gatewaysettings.h"
#include "http2transport.h"
#include "httpserver.h"
#include "limits/retrybudget.h"
#include "serving/objectfollower.h"
#include "serving/sharedbudgets.h"

/// What the settings of a gateway mean for each of its parts. Spans that no operator sets stand here with their
/// reasons.
namespace RadishSwitch
{

GatewayStoreSettings storeSettings(const GatewaySettings &settings);
ObjectFollowerSettings followerSettings(const GatewaySettings &settings);

/// How long the gateway that watches for others may be without a word.
Duration relayTimeout(const GatewaySettings &settings);

LedgerSettings ledgerSettings(const GatewaySettings &settings);
BudgetHolderSettings holderSettings(const GatewaySettings &settings, RandomSource &random);
SharedBudgetsSettings sharedBudgetsSettings(const GatewaySettings &settings);
TransportSettings transportSettings(const GatewaySettings &settings);
RetrySettings retrySettings(const GatewaySettings &settings);
HttpServerSettings callerServerSettings();

}
