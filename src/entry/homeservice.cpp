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
    using OwnerLookup = std::function<std::string(const BudgetId &)>;

    ServedHomeStream(MessageStreamPointer stream, std::unique_ptr<HomeSession> session, OwnerLookup ownerOf,
                     TimerService &timers, TaskQueue &tasks)
        : m_stream(std::move(stream))
        , m_session(std::move(session))
        , m_ownerOf(std::move(ownerOf))
        , m_timers(timers)
        , m_tasks(tasks)
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
            return noteDispatched(request->dispatched());
        case wire::HomeRequest::kSettle:
            return settle(request->settle());
        case wire::HomeRequest::REQUEST_NOT_SET:
            m_stream->cancel();
        }
    }

    // The home answers under its lock. What is sent needs the lock again to look up the owner, so it is made in a task
    // of its own; made in place it waited for itself, and the whole entry stood still with it.
    void admit(const wire::AdmitRequest &message)
    {
        const AdmissionQuery question = admitQuestionFromWire(message, m_timers.now());
        m_session->admit(
            question,
            [self = shared_from_this(), budget = question.budget](const absl::StatusOr<AdmitDecision> &decision) {
                self->m_tasks.post([self, budget, decision] {
                    self->sendDecision(budget, decision);
                });
            });
    }

    void sendDecision(const BudgetId &budget, const absl::StatusOr<AdmitDecision> &decision)
    {
        wire::HomeAnswer answer;
        *answer.mutable_admit() = admitDecisionToWire(decision, m_timers.now());
        if (!decision.ok() && failureCode(decision.status()) == FailureCode::HomeElsewhere) {
            answer.mutable_admit()->set_owner_address(m_ownerOf(budget));
        }
        m_stream->send(answer.SerializeAsString());
    }

    void noteDispatched(const wire::Dispatched &message)
    {
        const AttemptId attempt(message.attempt_id());
        m_session->noteDispatched(attempt, message.agent_address(), [stream = m_stream, attempt](absl::Status) {
            wire::HomeAnswer answer;
            answer.set_dispatched_attempt_id(attempt.value());
            stream->send(answer.SerializeAsString());
        });
    }

    void settle(const wire::Settle &message)
    {
        m_session->settle(settlementFromWire(message), [stream = m_stream](absl::Status) {
            wire::HomeAnswer answer;
            answer.set_settled(true);
            stream->send(answer.SerializeAsString());
            stream->finish();
        });
    }

    MessageStreamPointer m_stream;
    std::unique_ptr<HomeSession> m_session;
    OwnerLookup m_ownerOf;
    TimerService &m_timers;
    TaskQueue &m_tasks;
};

}

HomeService::HomeService(Home &home, Monitor &monitor, TimerService &timers, TaskQueue &tasks)
    : m_home(home)
    , m_monitor(monitor)
    , m_timers(timers)
    , m_tasks(tasks)
{
}

std::unique_ptr<HomeSession> HomeService::openLocal()
{
    return std::make_unique<LocalHomeSession>(m_home, m_monitor);
}

std::uint32_t HomeService::shardOf(const BudgetId &budget)
{
    return m_monitor.run([&] {
        return m_home.shardOf(budget);
    });
}

std::string HomeService::ownerAddress(const BudgetId &budget)
{
    return m_monitor.run([&] {
        const std::optional<KeyOwner> owner = m_home.ownerOf(m_home.shardOf(budget));
        return owner ? owner->address : std::string();
    });
}

void HomeService::serve(Http2MessageServer &server)
{
    server.handle("/home", [this](MessageStreamPointer stream) {
        serveStream(std::move(stream));
    });
}

void HomeService::serveStream(MessageStreamPointer stream)
{
    const auto ownerOf = [this](const BudgetId &budget) {
        return ownerAddress(budget);
    };
    std::make_shared<ServedHomeStream>(std::move(stream), openLocal(), ownerOf, m_timers, m_tasks)->start();
}

}
