#pragma once

#include "base/randomsource.h"
#include "budgets/budgetholdersettings.h"
#include "budgets/ledgersettings.h"
#include "fleetsettings.h"
#include "http2transport.h"
#include "serving/sharedbudgets.h"

/// Derives the settings of the components that gateways and homes have in common from the settings of the process. The
/// times and limits that an operator can't set are defined here, with their reasons.
namespace RadishSwitch
{

LedgerSettings ledgerSettings(const FleetSettings &settings);
BudgetHolderSettings holderSettings(const FleetSettings &settings, RandomSource &random);
SharedBudgetsSettings sharedBudgetsSettings(const FleetSettings &settings);
TransportSettings transportSettings(const FleetSettings &settings);

/// The settings of the directory in which gateways and homes look for collectors of load.
HomeDirectorySettings collectorDirectorySettings();

/// Returns the entry under which the other processes of the fleet find this one.
FleetPeer peerOf(const FleetSettings &settings, PeerKind kind);

}
