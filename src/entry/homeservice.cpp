#include "homeservice.h"

#include "homewire.h"
#include "localhomesession.h"
#include "wireconversion.h"

namespace RadishSwitch
{

namespace
{

// One request that another entry serves. When its stream ends without a settlement, that entry is gone or cut off,
// and dropping the local session makes the home find out at the agents.
class ServedHomeStream : public std::enable_shared_from_this<ServedHomeStream>
{
public:
    ServedHomeStream(MessageStreamPointer stream, std::unique_ptr<HomeSession> session, TimerService &timers)
        : m_stream(std::move(stream))
        , m_session(std::move(session))
        , m_timers(timers)
    {
    }

    void start()
    {
        m_stream->start(
            [self = shared_from_this()](std::string frame) {
                self->onMessage(frame);
            },
            [self = shared_from_this()](absl::Status) {
                self->m_session.reset();
            });
    }

private:
    void onMessage(const std::string &frame)
    {
        const absl::StatusOr<wire::HomeRequest> request = parseFrame<wire::HomeRequest>(frame);
        if (!request.ok()) {
            m_stream->cancel();
            return;
        }
        switch (request->request_case()) {
        case wire::HomeRequest::kAdmit:
            return admit(request->admit());
        case wire::HomeRequest::kDispatched:
            return m_session->noteDispatched(AttemptId(request->dispatched().attempt_id()),
                                             request->dispatched().agent_address());
        case wire::HomeRequest::kSettle:
            return settle(request->settle());
        case wire::HomeRequest::REQUEST_NOT_SET:
            m_stream->cancel();
        }
    }

    void admit(const wire::AdmitRequest &message)
    {
        const auto onDecided = [stream = m_stream](absl::StatusOr<AdmitDecision> decision) {
            wire::HomeAnswer answer;
            *answer.mutable_admit() = admitDecisionToWire(decision);
            stream->send(answer.SerializeAsString());
        };
        m_session->admit(admitQuestionFromWire(message, m_timers.now()), onDecided);
    }

    void settle(const wire::Settle &message)
    {
        const Settlement settlement{message.charged_tokens(), message.not_run(), message.failed()};
        m_session->settle(settlement, [stream = m_stream](absl::Status) {
            wire::HomeAnswer answer;
            answer.set_settled(true);
            stream->send(answer.SerializeAsString());
            stream->finish();
        });
    }

    MessageStreamPointer m_stream;
    std::unique_ptr<HomeSession> m_session;
    TimerService &m_timers;
};

}

HomeService::HomeService(Home &home, Monitor &monitor, TimerService &timers)
    : m_home(home)
    , m_monitor(monitor)
    , m_timers(timers)
{
}

std::unique_ptr<HomeSession> HomeService::openLocal()
{
    return std::make_unique<LocalHomeSession>(m_home, m_monitor);
}

void HomeService::serve(Http2MessageServer &server)
{
    server.handle("/home", [this](MessageStreamPointer stream) {
        std::make_shared<ServedHomeStream>(std::move(stream), openLocal(), m_timers)->start();
    });
}

}
