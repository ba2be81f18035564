#pragma once

#include "homesession.h"
#include "messagestream.h"
#include "timerservice.h"

#include <mutex>

namespace RadishSwitch
{

/// A session with the home at another entry, over one stream of its own.
class RemoteHomeSession : public HomeSession
{
public:
    RemoteHomeSession(std::shared_ptr<MessageClient> client, TimerService &timers);
    ~RemoteHomeSession() override;

    void admit(const AdmitQuestion &question, AdmitCallback callback) override;
    void noteDispatched(const AttemptId &attempt, const std::string &agentAddress) override;
    void settle(const Settlement &settlement, SettledCallback callback) override;

private:
    class Conversation;

    std::shared_ptr<MessageClient> m_client;
    TimerService &m_timers;
    std::shared_ptr<Conversation> m_conversation;
};

}
