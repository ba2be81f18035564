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

/// How a gateway uses the platform's store.
struct GatewayStoreSettings {
    /// "ip:port".
    std::string address;
    /// How long a watch without news may last.
    Duration watchWait{};
    /// Prefix of objects of which old news will do: they are watched for longer and at the lower price of answers that
    /// may be seconds old.
    std::string relaxedPrefix;
};

/// The adapter that this build is for.
GatewayAdapter makeGatewayAdapter(WorkerPool &workers, const GatewayStoreSettings &settings);

}
