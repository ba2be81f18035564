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
    const RunRecord *rival = rivalOf(request);
    if (isProvisional || (rival && rival->state == RunState::Running)) {
        m_waiting[request] = {shard, tokens, !isProvisional};
        return;
    }
    decide(request, tokens);
}

void Billing::decide(const RequestId &request, std::int64_t tokens)
{
    const RunRecord *rival = rivalOf(request);
    const bool isBilledElsewhere = rival && rival->chargedTokens > 0;
    m_rivals.erase(request);
    if (isBilledElsewhere) {
        return m_reservations.release(request);
    }
    m_reservations.settle(request, tokens);
}

void Billing::release(const RequestId &request)
{
    m_rivals.erase(request);
    m_reservations.release(request);
}

void Billing::withhold(const RequestId &request)
{
    m_rivals.erase(request);
    m_reservations.withhold(request);
}

void Billing::noteRival(const RunRecord &record)
{
    RunRecord &rival = m_rivals[record.request];
    const bool isFirst = rival.request.isEmpty();
    const bool isSame = rival.attempt == record.attempt;
    if (isFirst || isSame || record.state == RunState::Done || record.state == RunState::Running) {
        rival = record;
    }
    const auto it = m_waiting.find(record.request);
    // Its shard is complete when the rival was found after `resume`, or when this is how the rival ended.
    if (it != m_waiting.end() && it->second.isResumed && rival.state != RunState::Running) {
        const Bill bill = it->second;
        m_waiting.erase(it);
        decide(record.request, bill.tokens);
    }
}

const RunRecord *Billing::rivalOf(const RequestId &request) const
{
    const auto it = m_rivals.find(request);
    return it == m_rivals.end() ? nullptr : &it->second;
}

void Billing::forgetRival(const RequestId &request)
{
    m_rivals.erase(request);
}

void Billing::resume(std::uint32_t shard)
{
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        Bill &bill = it->second;
        bill.isResumed = bill.isResumed || bill.shard == shard;
        const RunRecord *rival = rivalOf(it->first);
        if (!bill.isResumed || (rival && rival->state == RunState::Running)) {
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
        m_rivals.erase(item.first);
        m_reservations.withhold(item.first);
        return true;
    });
}

}
