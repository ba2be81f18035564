#pragma once

#include "callprotocol.h"
#include "fleetstore.h"
#include "servingcatalogue.h"

#include <memory>
#include <string>

namespace RadishSwitch
{

/// The platform's implementations of the interfaces that a gateway uses.
struct GatewayAdapter {
    std::unique_ptr<ObjectStore> store;
    std::unique_ptr<ServingCatalogue> catalogue;
    std::unique_ptr<CallProtocol> protocol;
};

/// Creates the adapter for the platform that this program is built for.
GatewayAdapter makeGatewayAdapter(WorkerPool &workers, const FleetStoreSettings &settings);

}
