#pragma once

#include "callprotocol.h"
#include "servingcatalogue.h"
#include "workerpool.h"

#include <memory>
#include <string>

namespace RadishSwitch
{

/// Where a gateway meets its platform: names, formats and calls.
struct GatewayAdapter {
    std::unique_ptr<ObjectStore> store;
    std::unique_ptr<ServingCatalogue> catalogue;
    std::unique_ptr<CallProtocol> protocol;
};

/// The adapter that this build is for. `storeAddress` is "ip:port"; `watchWait` is how long a watch without news may last.
GatewayAdapter makeGatewayAdapter(WorkerPool &workers, const std::string &storeAddress, Duration watchWait);

}
