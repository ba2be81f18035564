#pragma once

#include "agentruns.h"
#include "heartbeatpublisher.h"
#include "http2transport.h"
#include "orderforwarder.h"

#include <memory>

namespace RadishSwitch
{

/// Serves the agent's paths: /run, /attach, /bar, /find, /close, /order and /heartbeats.
///
/// A question about what ran may name the life of the agent that is meant. An agent that was started anew knows nothing
/// of the runs before; its "never seen" would be read as "not run", and spent tokens would be given back. So a question
/// to another life is left without an answer: the asker keeps the outcome as unknown.
class AgentServer
{
public:
    AgentServer(std::shared_ptr<AgentRuns> runs, std::shared_ptr<HeartbeatPublisher> heartbeats,
                std::shared_ptr<OrderForwarder> orders, IncarnationId incarnation);

    /// Sets the handlers of all paths.
    void registerPaths(Http2MessageServer &server) const;

    void serveRun(const MessageStreamPointer &stream) const;
    void serveAttach(const MessageStreamPointer &stream) const;
    void serveBar(const MessageStreamPointer &stream) const;
    void serveFind(const MessageStreamPointer &stream) const;
    void serveClose(const MessageStreamPointer &stream) const;
    void serveOrder(const MessageStreamPointer &stream) const;
    void serveHeartbeats(const MessageStreamPointer &stream) const;

private:
    const std::shared_ptr<AgentRuns> m_runs;
    const std::shared_ptr<HeartbeatPublisher> m_heartbeats;
    const std::shared_ptr<OrderForwarder> m_orders;
    const IncarnationId m_incarnation;
};

}
