#include "requests/ordergate.h"

#include "base/failure.h"

namespace RadishSwitch
{

void OrderGate::setFence(std::uint64_t fence)
{
    if (!m_fence || fence > *m_fence) {
        m_fence = fence;
        m_number = 0;
    }
}

absl::Status OrderGate::admit(const EndpointOrder &order)
{
    if (!m_fence) {
        return makeFailure(FailureCode::StaleFence, "the current lease holder is not known yet");
    }
    if (order.fence < *m_fence || (order.fence == *m_fence && order.number <= m_number)) {
        return makeFailure(FailureCode::StaleFence, "a later order has already been admitted");
    }
    setFence(order.fence);
    m_number = order.number;
    return absl::OkStatus();
}

}
