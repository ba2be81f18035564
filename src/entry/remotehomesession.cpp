#include "remotehomesession.h"

#include "homewire.h"
#include "wireconversion.h"

#include <map>
#include <string>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr Duration kConfirmationTimeout = std::chrono::seconds(2);
constexpr std::chrono::milliseconds kComeBackSoon(1000);

absl::Status unreachable(const absl::Status &cause)
{
    return makeFailure(FailureCode::HomeUnreachable, "the home of the budget: " + std::string(cause.message()),
                       kComeBackSoon);
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

    // Several confirmations may be under way: the first attempt's is not waited for. Each is told by what it confirms;
    // with the first one's taken for a later attempt's, that attempt would go out before the home knows of it.
    void expectDone(const Confirmation &what, DoneCallback callback)
    {
        bool isOver = false;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            isOver = m_isOver;
            if (!isOver) {
                m_awaited[what] = callback;
            }
        }
        if (isOver) {
            callback(makeFailure(FailureCode::HomeUnreachable, "the home of the budget went away", kComeBackSoon));
        }
    }

    void finishDone(const Confirmation &what, const absl::Status &status)
    {
        DoneCallback callback;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const auto it = m_awaited.find(what);
            if (it == m_awaited.end()) {
                return;
            }
            callback = std::move(it->second);
            m_awaited.erase(it);
        }
        callback(status);
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
    template<typename T>
    T taken(T &member)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return std::exchange(member, T());
    }

    void onMessage(const std::string &frame)
    {
        const absl::StatusOr<wire::HomeAnswer> answer = parseFrame<wire::HomeAnswer>(frame);
        if (!answer.ok()) {
            m_stream->cancel();
            return;
        }
        if (answer->answer_case() == wire::HomeAnswer::kDispatchedAttemptId) {
            return finishDone(AttemptId(answer->dispatched_attempt_id()), absl::OkStatus());
        }
        if (answer->answer_case() == wire::HomeAnswer::kSettled) {
            return finishDone(Settled(), absl::OkStatus());
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
        for (const auto &[what, callback] : taken(m_awaited)) {
            callback(unreachable(status));
        }
    }

    OwnerObserver m_ownerObserver;
    const Instant m_askedAt;
    MessageStreamPointer m_stream;
    std::mutex m_mutex;
    bool m_isOver = false;
    AdmitCallback m_onAdmitted;
    std::map<Confirmation, DoneCallback> m_awaited;
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

void RemoteHomeSession::admit(const AdmissionQuery &question, AdmitCallback callback)
{
    wire::HomeRequest message;
    *message.mutable_admit() = admitQuestionToWire(question, m_timers.now());
    m_conversation = std::make_shared<Conversation>(m_ownerObserver, m_timers.now());
    m_conversation->begin(m_client->open("/home", message.SerializeAsString()), std::move(callback));
    const Duration patience = std::max(question.deadline - m_timers.now(), Duration::zero());
    m_timers.after(patience, [conversation = std::weak_ptr(m_conversation)] {
        if (const auto held = conversation.lock()) {
            held->failAdmitted(
                makeFailure(FailureCode::HomeUnreachable, "the home of the budget did not answer", kComeBackSoon));
        }
    });
}

void RemoteHomeSession::noteDispatched(const AttemptId &attempt, const std::string &agentAddress, DoneCallback callback)
{
    wire::HomeRequest message;
    message.mutable_dispatched()->set_attempt_id(attempt.value());
    message.mutable_dispatched()->set_agent_address(agentAddress);
    send(message, attempt, std::move(callback));
}

void RemoteHomeSession::settle(const Settlement &settlement, DoneCallback callback)
{
    wire::HomeRequest message;
    *message.mutable_settle() = settlementToWire(settlement);
    send(message, Settled(), std::move(callback));
}

void RemoteHomeSession::send(const wire::HomeRequest &message, const Confirmation &what, DoneCallback callback)
{
    m_conversation->expectDone(what, std::move(callback));
    m_conversation->stream()->send(message.SerializeAsString());
    m_timers.after(kConfirmationTimeout, [conversation = std::weak_ptr(m_conversation), what] {
        if (const auto held = conversation.lock()) {
            held->finishDone(
                what,
                makeFailure(FailureCode::HomeUnreachable, "the home of the budget did not confirm", kComeBackSoon));
        }
    });
}

}
