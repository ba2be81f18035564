#pragma once

#include "courier.h"
#include "sessionrecorder.h"

#include <utility>

/// Delivers each message a moment after it was sent, and writes it down.
class RecordedCourier : public Courier
{
public:
    RecordedCourier(SessionRecorder &recorder, RadishSwitch::TimerService &timers, RadishSwitch::Duration delay)
        : m_recorder(recorder)
        , m_timers(timers)
        , m_delay(delay)
    {
    }

    void carry(CarriedMessage message) override
    {
        m_recorder.sends(message.from, message.to, message.text);
        m_timers.after(m_delay, std::move(message.deliver));
    }

private:
    SessionRecorder &m_recorder;
    RadishSwitch::TimerService &m_timers;
    const RadishSwitch::Duration m_delay;
};
