#pragma once

#include "agents/agentport.h"
#include "budgets/reservationport.h"

#include <cstdint>
#include <map>

namespace RadishSwitch
{

/// Bills each request that this home granted at most once, and not at all when a run granted by an earlier owner of the
/// request's key shard was charged.
///
/// After a change of owner, some agents may be unreachable, and the new owner cannot tell whether the earlier owner
/// already had the request run. The whole reservation of a request that runs again in that situation stays reserved
/// until those agents have answered or are permanently gone. Then either this bill or the earlier one is kept, never
/// both.
class Billing
{
public:
    explicit Billing(ReservationPort &reservations);

    /// Bills a request that ended. With zero tokens the reservation is released at once. With `isProvisional` the bill
    /// waits until `resume` is called for the shard.
    void settle(const RequestId &request, std::uint32_t shard, std::int64_t tokens, bool isProvisional);

    /// Releases the reservation of a request that used no tokens.
    void release(const RequestId &request);

    /// Withholds the reservation, because the tokens that the request used can no longer be determined.
    void withhold(const RequestId &request);

    /// Records that an agent reported another run of a request that was also granted here.
    void noteCompetingRun(const RunRecord &record);
    const RunRecord *competingRunOf(const RequestId &request) const;
    void forgetCompetingRun(const RequestId &request);

    /// Decides the provisional bills of the shard, after all agents have answered.
    void resume(std::uint32_t shard);

    /// Withholds the waiting bills of the shard, after another owner has taken it over: this home can no longer find
    /// out whether another run was billed.
    void withholdShard(std::uint32_t shard);

    std::size_t waiting() const
    {
        return m_waiting.size();
    }

private:
    struct Bill {
        std::uint32_t shard = 0;
        std::int64_t tokens = 0;
        /// Whether `resume` was called for the shard, so that only a competing run that is still running delays the
        /// bill.
        bool isResumed = false;
    };

    void decide(const RequestId &request, std::int64_t tokens);

    ReservationPort &m_reservations;
    std::map<RequestId, Bill> m_waiting;
    std::map<RequestId, RunRecord> m_competingRuns;
};

}
