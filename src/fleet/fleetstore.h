#pragma once

#include "base/objectstore.h"
#include "base/timerservice.h"
#include "workerpool.h"

#include <memory>
#include <string>

namespace RadishSwitch
{

/// Settings for the access of one process to the platform's store.
struct FleetStoreSettings {
    /// Address of the store as "ip:port".
    std::string address;
    /// Maximum time that a watch waits for a change.
    Duration watchWait{};
    /// Prefix of the objects for which outdated answers are acceptable. They are watched with relaxed calls, whose
    /// answers may be seconds old and which cost less.
    std::string relaxedPrefix;
};

/// Creates the client for the store of the platform that this build is for.
std::unique_ptr<ObjectStore> makeFleetStore(WorkerPool &workers, const FleetStoreSettings &settings);

}
