#include "requests/fencegate.h"

#include "base/failure.h"

#include <utility>

namespace RadishSwitch
{

FenceGate::FenceGate(PoolId pool, IncarnationId incarnation)
    : m_pool(std::move(pool))
    , m_incarnation(std::move(incarnation))
{
}

absl::Status FenceGate::admit(const PoolId &pool, const IncarnationId &incarnation, std::uint64_t fence)
{
    if (pool != m_pool) {
        return makeFailure(FailureCode::InvalidRequest, "the endpoint belongs to another pool");
    }
    if (incarnation != m_incarnation) {
        return makeFailure(FailureCode::StaleFence, "the order is for another incarnation of the agent");
    }
    if (fence < m_highestFence) {
        return makeFailure(FailureCode::StaleFence, "a later holder has given orders");
    }
    m_highestFence = fence;
    return absl::OkStatus();
}

}
