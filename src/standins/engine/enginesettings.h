#pragma once

#include "base/timerservice.h"

#include <cstdint>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// What a stand-in engine is like.
struct EngineSettings {
    std::string name = "engine";
    std::vector<std::string> models{"standin"};
    std::vector<std::string> adapters;
    std::string version = "1";
    std::string softwareVersion = "1";
    /// Runs that are batched at once; more wait.
    int slots = 16;
    /// Speed of a run that is alone in the batch.
    double tokensPerSecond = 100;
    /// How much each further run in the batch slows each of them: the interval grows by this share.
    double batchSlowdown = 0.02;
    /// Speed at which prompt tokens that are not in the cache are read.
    double prefillTokensPerSecond = 20000;
    /// Blocks that the prefix cache holds.
    int cacheBlocks = 4096;
    /// Load reports tell of the state so long ago.
    Duration loadLag = Duration::zero();
    /// Cache events show so long after they happened.
    Duration cacheEventDelay = Duration::zero();
    /// Whether an order with a lower fence number than one seen before is refused.
    bool isFenceChecked = false;
    /// Where each run is written as a line of JSON when it starts and when it ends; empty for nowhere.
    std::string recordFile;
};

}
