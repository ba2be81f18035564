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
            m_home.abandon(m_request);
        }
    });
}

// A grant that comes after its session was dropped has nobody to settle it; without the abandon here its tokens would
// stay reserved until the portion is closed.
void LocalHomeSession::admit(const AdmitQuestion &question, AdmitCallback callback)
{
    m_request = question.request;
    m_monitor.run([&] {
        const auto onDecided = [&home = m_home, request = m_request, progress = m_progress,
                                callback](absl::StatusOr<AdmitDecision> decision) {
            progress->isGranted = decision.ok() && std::holds_alternative<Grant>(*decision);
            if (progress->isGranted && progress->isDropped) {
                home.abandon(request);
            }
            callback(std::move(decision));
        };
        m_home.admit(question, onDecided);
    });
}

void LocalHomeSession::noteDispatched(const AttemptId &attempt, const std::string &agentAddress)
{
    m_monitor.run([&] {
        m_home.noteDispatched(m_request, attempt, agentAddress);
    });
}

void LocalHomeSession::settle(const Settlement &settlement, SettledCallback callback)
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
