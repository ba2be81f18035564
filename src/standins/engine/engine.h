#pragma once

#include "batchscheduler.h"
#include "enginefaults.h"
#include "engineorders.h"
#include "enginesettings.h"
#include "loadhistory.h"
#include "prefixcache.h"
#include "runrecords.h"

#include <mutex>
#include <string>

namespace RadishSwitch
{

/// The state that all runs of a stand-in engine share. Safe on any thread. Each part has its own lock, and none is
/// held while another part is called.
class Engine
{
public:
    explicit Engine(const EngineSettings &settings);

    const EngineSettings &settings() const;
    EngineFaults faults() const;

    /// See changedFaults(). Ends the process when told to die, after it has written its records.
    absl::Status changeFaults(const std::string &document);

    RunRecords &records();
    BatchScheduler &scheduler();
    PrefixCache &cache();
    EngineOrders &orders();

    /// Notes the batch's load, and tokens made since the last note.
    void noteLoad(std::int64_t tokens);

    /// The time from one token of a run to the next, as the batch stands.
    Duration tokenInterval() const;

    /// The time to read so many prompt tokens.
    Duration prefillTime(std::int64_t tokens) const;

    /// What /load answers: the state as it was a while ago, with the cache events after `since`.
    std::string loadReport(std::uint64_t since) const;

private:
    EngineSettings m_settings;
    mutable std::mutex m_faultsMutex;
    EngineFaults m_faults;
    RunRecords m_records;
    BatchScheduler m_scheduler;
    PrefixCache m_cache;
    EngineOrders m_orders;
    LoadHistory m_history;
};

}
