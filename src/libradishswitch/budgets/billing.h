#pragma once

#include "agents/agentport.h"
#include "budgets/reservationport.h"

#include <cstdint>
#include <map>

namespace RadishSwitch
{

/// Sees to it that a request granted here is billed here at most once, and not at all when a run granted by an earlier
/// owner of its key shard turns out to have been charged.
///
/// After a change of owner some agents cannot be asked. What runs again on such a guess keeps its whole reservation
/// until they answered or are gone for good; then either this bill or the earlier one stands, never both.
class Billing
{
public:
    explicit Billing(ReservationPort &reservations);

    /// Bills a request that ended; zero tokens free its reservation at once. With `isProvisional` the bill waits for
    /// `resume` of its shard.
    void settle(const RequestId &request, std::uint32_t shard, std::int64_t tokens, bool isProvisional);

    /// Nothing was used.
    void release(const RequestId &request);

    /// Nobody can prove any more what was used.
    void withhold(const RequestId &request);

    /// An agent told of a run of a request that was granted here as well.
    void noteCompetingRun(const RunRecord &record);
    const RunRecord *competingRunOf(const RequestId &request) const;
    void forgetCompetingRun(const RequestId &request);

    /// All agents have answered for the shard: the waiting bills are decided.
    void resume(std::uint32_t shard);

    /// The shard has gone to another owner: who else may have been billed cannot be found out any more.
    void withholdShard(std::uint32_t shard);

    std::size_t waiting() const
    {
        return m_waiting.size();
    }

private:
    struct Bill {
        std::uint32_t shard = 0;
        std::int64_t tokens = 0;
        /// Whether only a rival that still runs holds it up.
        bool isResumed = false;
    };

    void decide(const RequestId &request, std::int64_t tokens);

    ReservationPort &m_reservations;
    std::map<RequestId, Bill> m_waiting;
    std::map<RequestId, RunRecord> m_competingRuns;
};

}
