// How an entry of the simulation serves a call, from the query to its home to the settlement.
#include "requestsimulation.h"

using namespace RadishSwitch;

namespace
{

constexpr std::int64_t kUsed = 60;

}

void RequestSimulation::ask(std::size_t n, const std::string &home, int hops)
{
    m_entries[home]->home->admit(m_calls[n].plan.query, [this, n, home, hops](const auto &decision) {
        const std::string &entry = m_calls[n].plan.entry;
        if (home == entry) {
            return handleDecision(n, home, hops, decision);
        }
        const auto lost = [this, n, home, decision] {
            if (decision.ok() && std::holds_alternative<Grant>(*decision) && isAlive(home)) {
                m_entries[home]->home->abandon(m_calls[n].plan.query.request, std::get<Grant>(*decision).attempt);
            }
            refuse(n, RunOutcome::Unknown);
        };
        send(
            home, entry, "decision",
            [this, n, home, hops, decision] {
                handleDecision(n, home, hops, decision);
            },
            lost);
    });
}

void RequestSimulation::handleDecision(std::size_t n, const std::string &home, int hops,
                                       const absl::StatusOr<AdmitDecision> &decision)
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
    sendToHome(n, "dispatched",
               [request = call.plan.query.request, attempt = call.grant.attempt, agent = call.plan.agent](Home &home) {
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

void RequestSimulation::startRun(std::size_t n)
{
    const Call &call = m_calls[n];
    const AdmissionQuery &query = call.plan.query;
    RunTable *table = m_agents.table(call.plan.agent);
    if (!table) {
        return;
    }
    const auto decision =
        table->start({query.request, call.grant.attempt, call.grant.portion, call.grant.shard, call.grant.epoch,
                      call.grant.reservedTokens, query.fingerprint, query.isNonIdempotent, call.grant.isProvisional});
    if (!decision.ok()) {
        return send(
            call.plan.agent, call.plan.entry, "refused",
            [this, n] {
                sendToHome(n, "settle",
                           [request = m_calls[n].plan.query.request, attempt = m_calls[n].grant.attempt](Home &home) {
                               home.settle(request, {0, true, false, attempt});
                           });
                refuse(n, RunOutcome::Unknown);
            },
            nullptr);
    }
    if (decision->action == RunDecision::Action::Start) {
        ++m_starts[query.request];
        m_running[call.grant.attempt] = {call.plan.agent, {n}};
        return;
    }
    attach(n, {call.plan.agent, decision->record.attempt, false});
}

void RequestSimulation::attach(std::size_t n, const DuplicateRun &run)
{
    const auto it = m_running.find(run.attempt);
    if (it != m_running.end()) {
        it->second.readers.push_back(n);
        return;
    }
    if (RunTable *table = m_agents.table(run.agentAddress)) {
        const RunRecord record = table->find(m_calls[n].plan.query.request, run.attempt);
        send(
            run.agentAddress, m_calls[n].plan.entry, "answer",
            [this, n, record] {
                read(n, record);
            },
            nullptr);
    }
}

void RequestSimulation::finishRun(const AttemptId &attempt)
{
    const Run run = m_running.extract(attempt).mapped();
    recordEvent(run.agent, "finish " + attempt.value());
    m_agents.table(run.agent)->noteDone(attempt, kUsed);
    for (const std::size_t n : run.readers) {
        sendAnswer(n, run.agent, attempt);
    }
}

void RequestSimulation::sendAnswer(std::size_t n, const std::string &agent, const AttemptId &attempt)
{
    const RunRecord record = m_agents.table(agent)->find(m_calls[n].plan.query.request, attempt);
    send(
        agent, m_calls[n].plan.entry, "answer",
        [this, n, record] {
            read(n, record);
        },
        [this, n] {
            giveUp(n);
        });
}

void RequestSimulation::read(std::size_t n, const RunRecord &record)
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
    // The answer of another attempt is billed with that attempt. The call's own attempt was then barred at the agent,
    // so it is settled as not run.
    const Settlement settlement{isOwn ? record.chargedTokens : 0, !isOwn, false, call.grant.attempt};
    sendToHome(n, "settle", [request = record.request, settlement](Home &home) {
        home.settle(request, settlement);
    });
}

void RequestSimulation::sendToHome(std::size_t n, const std::string &text, std::function<void(Home &)> tell)
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
    // When the stream between entry and home breaks, the home treats the entry as gone.
    send(call.plan.entry, call.home, text, deliver, [this, n] {
        abandonAtHome(n);
    });
}

void RequestSimulation::abandonAtHome(std::size_t n)
{
    const Call &call = m_calls[n];
    if (!call.home.empty() && isAlive(call.home)) {
        m_entries[call.home]->home->abandon(call.plan.query.request, call.grant.attempt);
    }
}

/// The entry lost its connection to the agent and lets the home find out how the run ended.
void RequestSimulation::giveUp(std::size_t n)
{
    if (m_calls[n].state == CallState::Open) {
        sendToHome(n, "abandon", [this, n](Home &) {
            abandonAtHome(n);
        });
        refuse(n, RunOutcome::Unknown);
    }
}

void RequestSimulation::refuse(std::size_t n, RunOutcome outcome)
{
    Call &call = m_calls[n];
    if (call.state != CallState::Open) {
        return;
    }
    call.state = CallState::Refused;
    if (outcome == RunOutcome::NotRun && m_starts[call.plan.query.request] > 0) {
        m_violation = "\"not run\" was reported for a request that ran";
    }
}
