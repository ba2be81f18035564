#pragma once

#include "base/objectstore.h"
#include "base/timerservice.h"
#include "workerpool.h"

#include <memory>
#include <string>

namespace RadishSwitch
{

/// How a process of the fleet uses the platform's store.
struct FleetStoreSettings {
    /// "ip:port".
    std::string address;
    /// How long a watch without news may last.
    Duration watchWait{};
    /// Prefix of objects of which old news will do: they are watched at the lower price of answers that may be seconds
    /// old.
    std::string relaxedPrefix;
};

/// The store of the platform that this build is for.
std::unique_ptr<ObjectStore> makeFleetStore(WorkerPool &workers, const FleetStoreSettings &settings);

}
