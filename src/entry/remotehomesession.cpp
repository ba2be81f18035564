#include "remotehomesession.h"

#include "homewire.h"
#include "wireconversion.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr Duration kConfirmationTimeout = std::chrono::seconds(2);

absl::Status unreachable(const absl::Status &cause)
{
    return makeFailure(FailureCode::HomeUnreachable, "the home of the budget: " + std::string(cause.message()),
                       std::chrono::seconds(1));
}

}

// Outlives its session while the stream still has something to say. Callbacks are taken out under the lock and called
// outside of it.
class RemoteHomeSession::Conversation : public std::enable_shared_from_this<Conversation>
{
public:
    Conversation(OwnerObserver ownerObserver, Instant askedAt)
        : m_ownerObserver(std::move(ownerObserver))
        , m_askedAt(askedAt)
    {
    }

    void begin(MessageStreamPointer stream, AdmitCallback callback)
    {
        m_stream = std::move(stream);
        m_onAdmitted = std::move(callback);
        m_stream->start(
            [self = shared_from_this()](std::string frame) {
                self->onMessage(frame);
            },
            [self = shared_from_this()](absl::Status status) {
                self->onClosed(status);
            });
    }

    // One confirmation is awaited at a time: a session dispatches, then settles.
    void expectDone(DoneCallback callback)
    {
        bool isOver = false;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            isOver = m_isOver;
            if (!isOver) {
                m_onDone = callback;
            }
        }
        if (isOver) {
            callback(makeFailure(FailureCode::HomeUnreachable, "the home of the budget went away"));
        }
    }

    void finishDone(const absl::Status &status)
    {
        if (const DoneCallback callback = taken(m_onDone)) {
            callback(status);
        }
    }

    void failAdmitted(const absl::Status &status)
    {
        if (const AdmitCallback callback = taken(m_onAdmitted)) {
            callback(status);
        }
    }

    const MessageStreamPointer &stream() const
    {
        return m_stream;
    }

private:
    template<typename Callback>
    Callback taken(Callback &callback)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return std::exchange(callback, nullptr);
    }

    void onMessage(const std::string &frame)
    {
        const absl::StatusOr<wire::HomeAnswer> answer = parseFrame<wire::HomeAnswer>(frame);
        if (!answer.ok()) {
            m_stream->cancel();
            return;
        }
        if (!answer->has_admit()) {
            finishDone(absl::OkStatus());
            return;
        }
        if (!answer->admit().owner_address().empty()) {
            m_ownerObserver(answer->admit().owner_address());
        }
        if (const AdmitCallback callback = taken(m_onAdmitted)) {
            callback(admitDecisionFromWire(answer->admit(), m_askedAt));
        }
    }

    void onClosed(const absl::Status &status)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_isOver = true;
        }
        failAdmitted(unreachable(status));
        finishDone(unreachable(status));
    }

    OwnerObserver m_ownerObserver;
    const Instant m_askedAt;
    MessageStreamPointer m_stream;
    std::mutex m_mutex;
    bool m_isOver = false;
    AdmitCallback m_onAdmitted;
    DoneCallback m_onDone;
};

RemoteHomeSession::RemoteHomeSession(std::shared_ptr<MessageClient> client, TimerService &timers,
                                     OwnerObserver ownerObserver)
    : m_client(std::move(client))
    , m_timers(timers)
    , m_ownerObserver(std::move(ownerObserver))
{
}

// Cancelling a stream that was not settled tells the home that its request is abandoned.
RemoteHomeSession::~RemoteHomeSession()
{
    if (m_conversation) {
        m_conversation->stream()->finish();
    }
}

void RemoteHomeSession::admit(const AdmitQuestion &question, AdmitCallback callback)
{
    wire::HomeRequest message;
    *message.mutable_admit() = admitQuestionToWire(question, m_timers.now());
    m_conversation = std::make_shared<Conversation>(m_ownerObserver, m_timers.now());
    m_conversation->begin(m_client->open("/home", message.SerializeAsString()), std::move(callback));
    const Duration patience = std::max(question.deadline - m_timers.now(), Duration::zero());
    m_timers.after(patience, [conversation = std::weak_ptr(m_conversation)] {
        if (const auto held = conversation.lock()) {
            held->failAdmitted(makeFailure(FailureCode::HomeUnreachable, "the home of the budget did not answer"));
        }
    });
}

void RemoteHomeSession::noteDispatched(const AttemptId &attempt, const std::string &agentAddress, DoneCallback callback)
{
    wire::HomeRequest message;
    message.mutable_dispatched()->set_attempt_id(attempt.value());
    message.mutable_dispatched()->set_agent_address(agentAddress);
    send(message, std::move(callback));
}

void RemoteHomeSession::settle(const Settlement &settlement, DoneCallback callback)
{
    wire::HomeRequest message;
    *message.mutable_settle() = settlementToWire(settlement);
    send(message, std::move(callback));
}

void RemoteHomeSession::send(const wire::HomeRequest &message, DoneCallback callback)
{
    m_conversation->expectDone(std::move(callback));
    m_conversation->stream()->send(message.SerializeAsString());
    m_timers.after(kConfirmationTimeout, [conversation = std::weak_ptr(m_conversation)] {
        if (const auto held = conversation.lock()) {
            held->finishDone(makeFailure(FailureCode::HomeUnreachable, "the home of the budget did not confirm"));
        }
    });
}

}
