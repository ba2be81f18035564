// How an entry of the world serves a call, from the question to its home to the settlement.
#include "requestworld.h"

using namespace RadishSwitch;

namespace
{

constexpr std::int64_t kUsed = 60;

}

void RequestWorld::ask(std::size_t n, const std::string &home, int hops)
{
    m_entries[home]->home->admit(m_calls[n].plan.question, [this, n, home, hops](const auto &decision) {
        const std::string &entry = m_calls[n].plan.entry;
        if (home == entry) {
            return hear(n, home, hops, decision);
        }
        const auto lost = [this, n, home, decision] {
            if (decision.ok() && std::holds_alternative<Grant>(*decision) && isAlive(home)) {
                m_entries[home]->home->abandon(m_calls[n].plan.question.request, std::get<Grant>(*decision).attempt);
            }
            refuse(n, RunOutcome::Unknown);
        };
        send(
            home, entry, "decision",
            [this, n, home, hops, decision] {
                hear(n, home, hops, decision);
            },
            lost);
    });
}

void RequestWorld::hear(std::size_t n, const std::string &home, int hops, const absl::StatusOr<AdmitDecision> &decision)
{
    Call &call = m_calls[n];
    if (!decision.ok()) {
        const bool isElsewhere = failureCode(decision.status()) == FailureCode::HomeElsewhere;
        if (!isElsewhere || hops > 0) {
            return refuse(n, outcomeOf(decision.status()));
        }
        return send(
            call.plan.entry, otherEntry(home), "admit",
            [this, n, home] {
                ask(n, otherEntry(home), 1);
            },
            [this, n] {
                refuse(n, RunOutcome::Unknown);
            });
    }
    if (const auto *duplicate = std::get_if<DuplicateRun>(&*decision)) {
        return send(
            call.plan.entry, duplicate->agentAddress, "attach",
            [this, n, run = *duplicate] {
                attach(n, run);
            },
            [this, n] {
                refuse(n, RunOutcome::Unknown);
            });
    }
    call.home = home;
    call.grant = std::get<Grant>(*decision);
    tellHome(n, "dispatched",
             [request = call.plan.question.request, attempt = call.grant.attempt, agent = call.plan.agent](Home &home) {
                 home.noteDispatched(request, attempt, agent);
             });
    send(
        call.plan.entry, call.plan.agent, "run",
        [this, n] {
            startRun(n);
        },
        [this, n] {
            abandonAtHome(n);
            refuse(n, RunOutcome::Unknown);
        });
}

void RequestWorld::startRun(std::size_t n)
{
    const Call &call = m_calls[n];
    const AdmitQuestion &question = call.plan.question;
    RunTable *table = m_agents.table(call.plan.agent);
    if (!table) {
        return;
    }
    const auto decision = table->start({question.request, call.grant.attempt, call.grant.portion, call.grant.shard,
                                        call.grant.epoch, call.grant.reservedTokens, question.fingerprint,
                                        question.isNonIdempotent, call.grant.isProvisional});
    if (!decision.ok()) {
        return send(
            call.plan.agent, call.plan.entry, "refused",
            [this, n] {
                tellHome(n, "settle",
                         [request = m_calls[n].plan.question.request, attempt = m_calls[n].grant.attempt](Home &home) {
                             home.settle(request, {0, true, false, attempt});
                         });
                refuse(n, RunOutcome::Unknown);
            },
            nullptr);
    }
    if (decision->action == RunDecision::Action::Start) {
        ++m_starts[question.request];
        m_running[call.grant.attempt] = {call.plan.agent, {n}};
        return;
    }
    attach(n, {call.plan.agent, decision->record.attempt, false});
}

void RequestWorld::attach(std::size_t n, const DuplicateRun &run)
{
    const auto it = m_running.find(run.attempt);
    if (it != m_running.end()) {
        it->second.readers.push_back(n);
        return;
    }
    if (RunTable *table = m_agents.table(run.agentAddress)) {
        const RunRecord record = table->find(m_calls[n].plan.question.request, run.attempt);
        send(
            run.agentAddress, m_calls[n].plan.entry, "answer",
            [this, n, record] {
                read(n, record);
            },
            nullptr);
    }
}

void RequestWorld::finishRun(const AttemptId &attempt)
{
    const Run run = m_running.extract(attempt).mapped();
    note(run.agent, "finish " + attempt.value());
    m_agents.table(run.agent)->noteDone(attempt, kUsed);
    for (const std::size_t n : run.readers) {
        sendAnswer(n, run.agent, attempt);
    }
}

void RequestWorld::sendAnswer(std::size_t n, const std::string &agent, const AttemptId &attempt)
{
    const RunRecord record = m_agents.table(agent)->find(m_calls[n].plan.question.request, attempt);
    send(
        agent, m_calls[n].plan.entry, "answer",
        [this, n, record] {
            read(n, record);
        },
        [this, n] {
            giveUp(n);
        });
}

void RequestWorld::read(std::size_t n, const RunRecord &record)
{
    Call &call = m_calls[n];
    if (call.state != CallState::Open) {
        return;
    }
    if (record.state != RunState::Done) {
        return refuse(n, RunOutcome::Unknown);
    }
    call.state = CallState::Answered;
    const bool isOwn = record.attempt == call.grant.attempt;
    // The answer of another attempt is billed with that attempt; the own one was barred at the agent.
    const Settlement settlement{isOwn ? record.chargedTokens : 0, !isOwn, false, call.grant.attempt};
    tellHome(n, "settle", [request = record.request, settlement](Home &home) {
        home.settle(request, settlement);
    });
}

void RequestWorld::tellHome(std::size_t n, const std::string &text, std::function<void(Home &)> tell)
{
    const Call &call = m_calls[n];
    if (call.home.empty()) {
        return;
    }
    const auto deliver = [this, home = call.home, tell = std::move(tell)] {
        if (isAlive(home)) {
            tell(*m_entries[home]->home);
        }
    };
    if (call.home == call.plan.entry) {
        return deliver();
    }
    // When the stream breaks, the home takes the entry for gone.
    send(call.plan.entry, call.home, text, deliver, [this, n] {
        abandonAtHome(n);
    });
}

void RequestWorld::abandonAtHome(std::size_t n)
{
    const Call &call = m_calls[n];
    if (!call.home.empty() && isAlive(call.home)) {
        m_entries[call.home]->home->abandon(call.plan.question.request, call.grant.attempt);
    }
}

/// The entry lost its agent and leaves the rest to the home.
void RequestWorld::giveUp(std::size_t n)
{
    if (m_calls[n].state == CallState::Open) {
        tellHome(n, "abandon", [this, n](Home &) {
            abandonAtHome(n);
        });
        refuse(n, RunOutcome::Unknown);
    }
}

void RequestWorld::refuse(std::size_t n, RunOutcome outcome)
{
    Call &call = m_calls[n];
    if (call.state != CallState::Open) {
        return;
    }
    call.state = CallState::Refused;
    if (outcome == RunOutcome::NotRun && m_starts[call.plan.question.request] > 0) {
        m_broken = "\"not run\" was said of a request that ran";
    }
}
