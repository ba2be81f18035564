#pragma once

#include "../golden/sessionrecorder.h"
#include "base/failure.h"
#include "homedirectory.h"
#include "localhomesession.h"

#include <memory>
#include <string>
#include <utility>
#include <variant>

/// The home of an entry's own process, with each question and answer written down.
class RecordedHomes : public RadishSwitch::HomeDirectory
{
public:
    RecordedHomes(SessionRecorder &recorder, std::string entry, RadishSwitch::Home &home,
                  RadishSwitch::Monitor &monitor)
        : m_recorder(recorder)
        , m_entry(std::move(entry))
        , m_home(home)
        , m_monitor(monitor)
    {
    }

    std::unique_ptr<RadishSwitch::HomeSession> open(const RadishSwitch::RunPlan &, int) override
    {
        return std::make_unique<Session>(*this);
    }

private:
    class Session : public RadishSwitch::HomeSession
    {
    public:
        explicit Session(RecordedHomes &homes)
            : m_homes(homes)
            , m_session(homes.m_home, homes.m_monitor)
        {
        }

        void admit(const RadishSwitch::AdmissionQuery &question, AdmitCallback callback) override
        {
            const std::string kind = question.isNonIdempotent ? "order" : "question";
            m_homes.asks("may this " + kind + " run, for at most " + std::to_string(question.worstCaseTokens)
                         + " tokens of " + question.budget.toString() + "?");
            m_session.admit(question, [&homes = m_homes, callback](absl::StatusOr<RadishSwitch::AdmitDecision> answer) {
                homes.answers(told(answer));
                callback(std::move(answer));
            });
        }

        void noteDispatched(const RadishSwitch::AttemptId &attempt, const std::string &agentAddress,
                            DoneCallback callback) override
        {
            m_homes.asks("it goes to " + agentAddress);
            m_session.noteDispatched(attempt, agentAddress, std::move(callback));
        }

        void settle(const RadishSwitch::Settlement &settlement, DoneCallback callback) override
        {
            m_homes.asks(settlement.isNotRun ? "it did not run"
                                             : "it is done, " + std::to_string(settlement.chargedTokens) + " tokens");
            m_session.settle(settlement, std::move(callback));
        }

    private:
        static std::string told(const absl::StatusOr<RadishSwitch::AdmitDecision> &answer)
        {
            if (!answer.ok()) {
                return "no: " + std::string(RadishSwitch::failureName(RadishSwitch::failureCode(answer.status())));
            }
            if (const auto *grant = std::get_if<RadishSwitch::Grant>(&*answer)) {
                return "yes, on " + grant->portion.value() + ", epoch " + std::to_string(grant->epoch);
            }
            return "its answer is at " + std::get<RadishSwitch::DuplicateRun>(*answer).agentAddress;
        }

        RecordedHomes &m_homes;
        RadishSwitch::LocalHomeSession m_session;
    };

    void asks(const std::string &text)
    {
        m_recorder.sends(m_entry, "home of " + m_entry, text);
    }

    void answers(const std::string &text)
    {
        m_recorder.sends("home of " + m_entry, m_entry, text);
    }

    SessionRecorder &m_recorder;
    const std::string m_entry;
    RadishSwitch::Home &m_home;
    RadishSwitch::Monitor &m_monitor;
};
