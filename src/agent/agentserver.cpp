#include "agentserver.h"

#include <functional>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// Gives the first frame of a stream, parsed, to `take`; a stream whose first frame can't be parsed is cancelled.
/// Later frames are ignored: each path takes one question. Until the first frame the callback alone holds the stream.
template<typename Message>
MessageStream::MessageCallback onFirstMessage(MessageStreamPointer stream,
                                              std::function<void(const Message &, const MessageStreamPointer &)> take)
{
    return [held = std::move(stream), take = std::move(take)](const std::string &frame) mutable {
        const MessageStreamPointer stream = std::exchange(held, nullptr);
        if (!stream) {
            return;
        }
        Message message;
        if (message.ParseFromString(frame)) {
            take(message, stream);
        } else {
            stream->cancel();
        }
    };
}

template<typename Question>
bool isForOtherLife(const Question &question, const IncarnationId &incarnation)
{
    return !question.agent_incarnation().empty() && question.agent_incarnation() != incarnation.value();
}

/// Answers one question with one frame.
template<typename Question, typename Answer>
void serveQuestion(const MessageStreamPointer &stream, const IncarnationId &incarnation,
                   std::function<Answer(const Question &)> answer)
{
    const auto take = [answer = std::move(answer), incarnation](const Question &question,
                                                                const MessageStreamPointer &stream) {
        if (!isForOtherLife(question, incarnation)) {
            stream->send(answer(question).SerializeAsString());
        }
        stream->finish();
    };
    stream->start(onFirstMessage<Question>(stream, take), [](const absl::Status &) {});
}

/// A stream that nobody holds any more has no reader; another one may lie at its address by now.
MessageStream::ClosedCallback onRunStreamClosed(std::shared_ptr<AgentRuns> runs, const MessageStreamPointer &stream)
{
    return [runs = std::move(runs), weak = std::weak_ptr(stream)](const absl::Status &status) {
        if (const MessageStreamPointer stream = weak.lock()) {
            runs->noteStreamClosed(stream.get(), status);
        }
    };
}

}

AgentServer::AgentServer(std::shared_ptr<AgentRuns> runs, std::shared_ptr<HeartbeatPublisher> heartbeats,
                         std::shared_ptr<OrderForwarder> orders, IncarnationId incarnation)
    : m_runs(std::move(runs))
    , m_heartbeats(std::move(heartbeats))
    , m_orders(std::move(orders))
    , m_incarnation(std::move(incarnation))
{
}

void AgentServer::registerPaths(Http2MessageServer &server) const
{
    const auto handle = [&](const std::string &path, void (AgentServer::*serve)(const MessageStreamPointer &) const) {
        server.handle(path, [copy = *this, serve](const MessageStreamPointer &stream) {
            (copy.*serve)(stream);
        });
    };
    handle("/run", &AgentServer::serveRun);
    handle("/attach", &AgentServer::serveAttach);
    handle("/bar", &AgentServer::serveBar);
    handle("/find", &AgentServer::serveFind);
    handle("/close", &AgentServer::serveClose);
    handle("/order", &AgentServer::serveOrder);
    handle("/heartbeats", &AgentServer::serveHeartbeats);
}

void AgentServer::serveRun(const MessageStreamPointer &stream) const
{
    const auto take = [runs = m_runs, incarnation = m_incarnation](const wire::RunRequest &request,
                                                                   const MessageStreamPointer &stream) {
        if (isForOtherLife(request, incarnation)) {
            return runs->refuseForOtherLife(request, stream);
        }
        runs->run(request, stream);
    };
    stream->start(onFirstMessage<wire::RunRequest>(stream, take), onRunStreamClosed(m_runs, stream));
}

void AgentServer::serveAttach(const MessageStreamPointer &stream) const
{
    const auto take = [runs = m_runs, incarnation = m_incarnation](const wire::AttachRequest &request,
                                                                   const MessageStreamPointer &stream) {
        if (isForOtherLife(request, incarnation)) {
            return stream->finish();
        }
        runs->attach(request, stream);
    };
    stream->start(onFirstMessage<wire::AttachRequest>(stream, take), onRunStreamClosed(m_runs, stream));
}

void AgentServer::serveBar(const MessageStreamPointer &stream) const
{
    serveQuestion<wire::BarRequest, wire::RunRecord>(stream, m_incarnation,
                                                     [runs = m_runs](const wire::BarRequest &request) {
                                                         return runs->bar(request);
                                                     });
}

void AgentServer::serveFind(const MessageStreamPointer &stream) const
{
    serveQuestion<wire::FindRunsRequest, wire::FindRunsAnswer>(stream, m_incarnation,
                                                               [runs = m_runs](const wire::FindRunsRequest &request) {
                                                                   return runs->find(request);
                                                               });
}

void AgentServer::serveClose(const MessageStreamPointer &stream) const
{
    serveQuestion<wire::ClosePortionsRequest, wire::ClosePortionsAnswer>(
        stream, m_incarnation, [runs = m_runs](const wire::ClosePortionsRequest &request) {
            return runs->close(request);
        });
}

void AgentServer::serveOrder(const MessageStreamPointer &stream) const
{
    const auto take = [orders = m_orders](const wire::OrderRequest &order, const MessageStreamPointer &stream) {
        orders->execute(order, [stream](const wire::OrderAnswer &answer) {
            stream->send(answer.SerializeAsString());
            stream->finish();
        });
    };
    stream->start(onFirstMessage<wire::OrderRequest>(stream, take), [](const absl::Status &) {});
}

void AgentServer::serveHeartbeats(const MessageStreamPointer &stream) const
{
    m_heartbeats->addListener(stream);
    const auto onClosed = [heartbeats = m_heartbeats, key = stream.get()](const absl::Status &) {
        heartbeats->removeListener(key);
    };
    stream->start([](const std::string &) {}, onClosed);
}

}
