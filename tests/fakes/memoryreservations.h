#pragma once

#include "base/failure.h"
#include "base/taskqueue.h"
#include "budgets/reservationport.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

/// A single portion of tokens that a home reserves from, with a record of what became of each reservation.
class MemoryReservations : public RadishSwitch::ReservationPort
{
public:
    using RequestId = RadishSwitch::RequestId;
    using ReservedPortion = RadishSwitch::ReservedPortion;

    MemoryReservations(RadishSwitch::TaskQueue &tasks, std::string portion, std::int64_t tokens)
        : m_tasks(tasks)
        , m_portion(std::move(portion))
        , m_free(tokens)
    {
    }

    void reserve(const RequestId &request, const RadishSwitch::BudgetId &, std::int64_t tokens, RadishSwitch::Instant,
                 std::function<void(absl::StatusOr<ReservedPortion>)> callback) override
    {
        absl::StatusOr<ReservedPortion> answer = ReservedPortion{m_portion, tokens};
        if (m_reserved.contains(request)) {
            ++m_reservedTwice;
        } else if (tokens > m_free) {
            answer = RadishSwitch::makeFailure(RadishSwitch::FailureCode::BudgetExhausted, "nothing left",
                                               std::chrono::milliseconds(100));
        } else {
            m_free -= tokens;
            m_reserved[request] = tokens;
        }
        auto task = [callback = std::move(callback), answer] {
            callback(answer);
        };
        if (m_isDelaying) {
            m_delayedAnswers.push_back(std::move(task));
        } else {
            m_tasks.post(std::move(task));
        }
    }

    /// While set, the answers of `reserve` are held back. Both calls release the answers that were held back so far.
    void setDelayingAnswers(bool isDelaying)
    {
        m_isDelaying = isDelaying;
        for (auto &task : std::exchange(m_delayedAnswers, {})) {
            m_tasks.post(std::move(task));
        }
    }

    void settle(const RequestId &request, std::int64_t tokens) override
    {
        m_free += takeReservation(request) - tokens;
        m_billed[request].push_back(tokens);
    }

    void release(const RequestId &request) override
    {
        m_free += takeReservation(request);
    }

    void withhold(const RequestId &request) override
    {
        m_withheld += takeReservation(request);
    }

    std::int64_t free() const
    {
        return m_free;
    }

    std::int64_t withheld() const
    {
        return m_withheld;
    }

    std::int64_t reserved() const
    {
        std::int64_t sum = 0;
        for (const auto &[request, tokens] : m_reserved) {
            sum += tokens;
        }
        return sum;
    }

    /// How often `reserve` was called for a request that already held a reservation.
    int reservedTwice() const
    {
        return m_reservedTwice;
    }

    /// All bills of a request. More than one is an error of the home.
    std::vector<std::int64_t> billsOf(const RequestId &request) const
    {
        const auto it = m_billed.find(request);
        return it == m_billed.end() ? std::vector<std::int64_t>() : it->second;
    }

private:
    std::int64_t takeReservation(const RequestId &request)
    {
        auto node = m_reserved.extract(request);
        return node.empty() ? 0 : node.mapped();
    }

    RadishSwitch::TaskQueue &m_tasks;
    const RadishSwitch::PortionId m_portion;
    std::int64_t m_free;
    std::int64_t m_withheld = 0;
    int m_reservedTwice = 0;
    bool m_isDelaying = false;
    std::vector<std::function<void()>> m_delayedAnswers;
    std::map<RequestId, std::int64_t> m_reserved;
    std::map<RequestId, std::vector<std::int64_t>> m_billed;
};
