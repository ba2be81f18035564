#include "budgets/billing.h"

#include <utility>

namespace RadishSwitch
{

Billing::Billing(ReservationPort &reservations)
    : m_reservations(reservations)
{
}

void Billing::settle(const RequestId &request, std::uint32_t shard, std::int64_t tokens, bool isProvisional)
{
    if (tokens == 0) {
        return release(request);
    }
    const RunRecord *competingRun = competingRunOf(request);
    if (isProvisional || (competingRun && competingRun->state == RunState::Running)) {
        m_waiting[request] = {shard, tokens, !isProvisional};
        return;
    }
    decide(request, tokens);
}

void Billing::decide(const RequestId &request, std::int64_t tokens)
{
    const RunRecord *competingRun = competingRunOf(request);
    const bool isBilledElsewhere = competingRun && competingRun->chargedTokens > 0;
    m_competingRuns.erase(request);
    if (isBilledElsewhere) {
        return m_reservations.release(request);
    }
    m_reservations.settle(request, tokens);
}

void Billing::release(const RequestId &request)
{
    m_competingRuns.erase(request);
    m_reservations.release(request);
}

void Billing::withhold(const RequestId &request)
{
    m_competingRuns.erase(request);
    m_reservations.withhold(request);
}

void Billing::noteCompetingRun(const RunRecord &record)
{
    RunRecord &competingRun = m_competingRuns[record.request];
    const bool isFirst = competingRun.request.isEmpty();
    const bool isSame = competingRun.attempt == record.attempt;
    if (isFirst || isSame || record.state == RunState::Done || record.state == RunState::Running) {
        competingRun = record;
    }
    const auto it = m_waiting.find(record.request);
    // The bill waits only for the competing run: that run was found after `resume`, or has just ended.
    if (it != m_waiting.end() && it->second.isResumed && competingRun.state != RunState::Running) {
        const Bill bill = it->second;
        m_waiting.erase(it);
        decide(record.request, bill.tokens);
    }
}

const RunRecord *Billing::competingRunOf(const RequestId &request) const
{
    const auto it = m_competingRuns.find(request);
    return it == m_competingRuns.end() ? nullptr : &it->second;
}

void Billing::forgetCompetingRun(const RequestId &request)
{
    m_competingRuns.erase(request);
}

void Billing::resume(std::uint32_t shard)
{
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        Bill &bill = it->second;
        bill.isResumed = bill.isResumed || bill.shard == shard;
        const RunRecord *competingRun = competingRunOf(it->first);
        if (!bill.isResumed || (competingRun && competingRun->state == RunState::Running)) {
            ++it;
            continue;
        }
        decide(it->first, bill.tokens);
        it = m_waiting.erase(it);
    }
}

void Billing::withholdShard(std::uint32_t shard)
{
    std::erase_if(m_waiting, [&](const auto &item) {
        if (item.second.shard != shard) {
            return false;
        }
        m_competingRuns.erase(item.first);
        m_reservations.withhold(item.first);
        return true;
    });
}

}
