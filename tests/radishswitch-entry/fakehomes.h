#pragma once

#include "base/failure.h"
#include "homedirectory.h"
#include "virtualloop.h"

#include <boost/asio/post.hpp>

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// A home whose answers are told it by the test, and the books on what it was told.
class FakeHomes : public RadishSwitch::HomeDirectory
{
public:
    using AdmitDecision = RadishSwitch::AdmitDecision;
    using Settlement = RadishSwitch::Settlement;

    explicit FakeHomes(VirtualLoop &loop)
        : m_loop(loop)
    {
    }

    std::unique_ptr<RadishSwitch::HomeSession> open(const RadishSwitch::RunPlan &, int) override
    {
        ++opened;
        return std::make_unique<Session>(*this);
    }

    /// Decisions on the next questions; after them every request is granted.
    std::deque<absl::StatusOr<AdmitDecision>> decisions;
    /// What the home answers when it is told of an attempt.
    absl::Status dispatchAnswer;

    int opened = 0;
    std::vector<RadishSwitch::AdmissionQuery> questions;
    std::vector<RadishSwitch::AttemptId> dispatched;
    std::vector<Settlement> settlements;
    /// Sessions that were granted and ended without a settlement.
    int abandoned = 0;

    static constexpr char kGrantedAttempt[] = "granted-1";

private:
    class Session : public RadishSwitch::HomeSession
    {
    public:
        explicit Session(FakeHomes &homes)
            : m_homes(homes)
        {
        }

        ~Session() override
        {
            m_homes.abandoned += m_isOpen ? 1 : 0;
        }

        void admit(const RadishSwitch::AdmissionQuery &question, AdmitCallback callback) override
        {
            m_homes.questions.push_back(question);
            RadishSwitch::Grant grant;
            grant.portion = RadishSwitch::PortionId("portion-1");
            grant.reservedTokens = question.worstCaseTokens;
            grant.attempt = RadishSwitch::AttemptId(kGrantedAttempt);
            absl::StatusOr<AdmitDecision> decision = AdmitDecision(grant);
            if (!m_homes.decisions.empty()) {
                decision = std::move(m_homes.decisions.front());
                m_homes.decisions.pop_front();
            }
            m_isOpen = decision.ok() && std::holds_alternative<RadishSwitch::Grant>(*decision);
            boost::asio::post(m_homes.m_loop.io, [callback, decision] {
                callback(decision);
            });
        }

        void noteDispatched(const RadishSwitch::AttemptId &attempt, const std::string &, DoneCallback callback) override
        {
            m_homes.dispatched.push_back(attempt);
            answer(m_homes.dispatchAnswer, std::move(callback));
        }

        void settle(const Settlement &settlement, DoneCallback callback) override
        {
            m_homes.settlements.push_back(settlement);
            m_isOpen = false;
            answer(absl::OkStatus(), std::move(callback));
        }

    private:
        void answer(const absl::Status &status, DoneCallback callback)
        {
            boost::asio::post(m_homes.m_loop.io, [callback = std::move(callback), status] {
                callback(status);
            });
        }

        FakeHomes &m_homes;
        bool m_isOpen = false;
    };

    VirtualLoop &m_loop;
};
