#pragma once

#include "budgets/reservationport.h"
#include "sessionrecorder.h"

#include <string>
#include <utility>

/// Writes down what a home does with the budget.
class RecordedReservations : public RadishSwitch::ReservationPort
{
public:
    using RequestId = RadishSwitch::RequestId;
    using ReservedPortion = RadishSwitch::ReservedPortion;

    RecordedReservations(std::string process, RadishSwitch::ReservationPort &port, SessionRecorder &recorder)
        : m_process(std::move(process))
        , m_port(port)
        , m_recorder(recorder)
    {
    }

    void reserve(const RequestId &request, const RadishSwitch::BudgetId &budget, std::int64_t tokens,
                 RadishSwitch::Instant deadline, std::function<void(absl::StatusOr<ReservedPortion>)> callback) override
    {
        m_recorder.happens(m_process + " reserves " + std::to_string(tokens) + " tokens of " + budget.toString()
                           + " for " + request.value());
        m_port.reserve(request, budget, tokens, deadline, std::move(callback));
    }

    void settle(const RequestId &request, std::int64_t tokens) override
    {
        m_recorder.happens(m_process + " bills " + std::to_string(tokens) + " tokens for " + request.value());
        m_port.settle(request, tokens);
    }

    void release(const RequestId &request) override
    {
        m_recorder.happens(m_process + " frees what was reserved for " + request.value());
        m_port.release(request);
    }

    void withhold(const RequestId &request) override
    {
        m_recorder.happens(m_process + " withholds what was reserved for " + request.value());
        m_port.withhold(request);
    }

private:
    const std::string m_process;
    RadishSwitch::ReservationPort &m_port;
    SessionRecorder &m_recorder;
};
