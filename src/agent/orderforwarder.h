#pragma once

#include "endpoint.h"
#include "requests/fencegate.h"
#include "wire.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>

namespace RadishSwitch
{

/// Passes orders on to the endpoint, those of the latest holder only, and one after another: two on the way at once
/// could take effect in either order.
///
/// Thread-safe by one mutex, under which only the inner locks of the endpoint's client are taken.
class OrderForwarder : public std::enable_shared_from_this<OrderForwarder>
{
public:
    using Callback = std::function<void(wire::OrderAnswer)>;

    OrderForwarder(Endpoint &endpoint, FenceGate gate);

    /// The answer comes once the endpoint has given its own; at once, in place, for an order that is refused here. An
    /// endpoint that could not be asked or heard is EndpointFailed; after that the order may still take effect.
    void execute(const wire::OrderRequest &order, Callback callback);

private:
    struct Waiting {
        wire::OrderRequest order;
        Callback callback;
    };

    void forwardNext();
    void takeAnswer(const absl::StatusOr<EndpointDocument> &answer);

    Endpoint &m_endpoint;
    std::mutex m_mutex;
    FenceGate m_gate;
    /// The first one is on its way.
    std::deque<Waiting> m_waiting;
};

}
