#pragma once

#include "messagestream.h"

#include <memory>
#include <string>

namespace RadishSwitch
{

/// Where a process gets its clients of the fleet's other processes. Safe on any thread.
class MessageClientSource
{
public:
    virtual ~MessageClientSource() = default;

    /// The client of "address:port"; never null, and the same one while it is in use.
    virtual std::shared_ptr<MessageClient> client(const std::string &address) = 0;
};

}
