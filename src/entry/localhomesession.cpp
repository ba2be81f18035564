#include "localhomesession.h"

#include <variant>

namespace RadishSwitch
{

LocalHomeSession::LocalHomeSession(Home &home, Monitor &monitor)
    : m_home(home)
    , m_monitor(monitor)
{
}

LocalHomeSession::~LocalHomeSession()
{
    m_monitor.run([this] {
        m_progress->isDropped = true;
        if (m_progress->isGranted && !m_progress->isSettled) {
            m_home.abandon(m_request, m_progress->grantedAttempt);
        }
    });
}

// A grant that comes after its session was dropped has nobody to settle it; without the abandon here its tokens would
// stay reserved until the portion is closed.
void LocalHomeSession::admit(const AdmissionQuery &question, AdmitCallback callback)
{
    m_request = question.request;
    m_monitor.run([&] {
        const auto onDecided = [&home = m_home, request = m_request, progress = m_progress,
                                callback](absl::StatusOr<AdmitDecision> decision) {
            if (const Grant *grant = decision.ok() ? std::get_if<Grant>(&*decision) : nullptr) {
                progress->isGranted = true;
                progress->grantedAttempt = grant->attempt;
            }
            if (progress->isGranted && progress->isDropped) {
                home.abandon(request, progress->grantedAttempt);
            }
            callback(std::move(decision));
        };
        m_home.admit(question, onDecided);
    });
}

void LocalHomeSession::noteDispatched(const AttemptId &attempt, const std::string &agentAddress, DoneCallback callback)
{
    m_monitor.run([&] {
        m_home.noteDispatched(m_request, attempt, agentAddress);
    });
    callback(absl::OkStatus());
}

void LocalHomeSession::settle(const Settlement &settlement, DoneCallback callback)
{
    m_monitor.run([&] {
        m_progress->isSettled = true;
        if (m_progress->isGranted) {
            m_home.settle(m_request, settlement);
        }
    });
    callback(absl::OkStatus());
}

}
