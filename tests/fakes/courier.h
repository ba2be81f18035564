#pragma once

#include "base/taskqueue.h"

#include <functional>
#include <string>
#include <utility>

/// One message between two processes of a fleet in memory.
struct CarriedMessage {
    std::string from;
    std::string to;
    /// What it says, in words that a reader of a session understands.
    std::string text;
    /// What happens at the receiver.
    std::function<void()> deliver;
    /// What the sender notices when the message never arrives; empty for nothing.
    std::function<void()> lose;
};

/// Carries messages between the processes of a fleet in memory.
class Courier
{
public:
    virtual ~Courier() = default;

    virtual void carry(CarriedMessage message) = 0;
};

/// Delivers everything, in order.
class PromptCourier : public Courier
{
public:
    explicit PromptCourier(RadishSwitch::TaskQueue &tasks)
        : m_tasks(tasks)
    {
    }

    void carry(CarriedMessage message) override
    {
        m_tasks.post(std::move(message.deliver));
    }

private:
    RadishSwitch::TaskQueue &m_tasks;
};
