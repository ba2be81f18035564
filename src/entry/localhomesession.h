#pragma once

#include "homesession.h"
#include "monitor.h"

namespace RadishSwitch
{

/// A session with the home in this process.
class LocalHomeSession : public HomeSession
{
public:
    LocalHomeSession(Home &home, Monitor &monitor);
    ~LocalHomeSession() override;

    void admit(const AdmissionQuery &question, AdmitCallback callback) override;
    void noteDispatched(const AttemptId &attempt, const std::string &agentAddress, DoneCallback callback) override;
    void settle(const Settlement &settlement, DoneCallback callback) override;

private:
    /// Shared with the callback of `admit`, which may outlive the session; used under the home's lock.
    struct Progress {
        bool isGranted = false;
        bool isSettled = false;
        bool isDropped = false;
        AttemptId grantedAttempt;
    };

    Home &m_home;
    Monitor &m_monitor;
    RequestId m_request;
    std::shared_ptr<Progress> m_progress = std::make_shared<Progress>();
};

}
