#pragma once

#include "base/timerservice.h"
#include "homesession.h"
#include "messagestream.h"
#include "wire.h"

#include <mutex>
#include <variant>

namespace RadishSwitch
{

/// A session with the home at another entry, over one stream of its own.
class RemoteHomeSession : public HomeSession
{
public:
    /// Told where the owner of the request's key shard is, when the home asked is not it.
    using OwnerObserver = std::function<void(const std::string &ownerAddress)>;

    RemoteHomeSession(std::shared_ptr<MessageClient> client, TimerService &timers, OwnerObserver ownerObserver);
    ~RemoteHomeSession() override;

    void admit(const AdmissionQuery &question, AdmitCallback callback) override;
    void noteDispatched(const AttemptId &attempt, const std::string &agentAddress, DoneCallback callback) override;
    void settle(const Settlement &settlement, DoneCallback callback) override;

private:
    class Conversation;

    struct Settled {
        auto operator<=>(const Settled &) const = default;
    };
    /// What the home confirms: that it knows of an attempt, or of the settlement.
    using Confirmation = std::variant<AttemptId, Settled>;

    void send(const wire::HomeRequest &message, const Confirmation &what, DoneCallback callback);

    std::shared_ptr<MessageClient> m_client;
    TimerService &m_timers;
    OwnerObserver m_ownerObserver;
    std::shared_ptr<Conversation> m_conversation;
};

}
