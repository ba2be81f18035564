#pragma once

#include "base/timerservice.h"
#include "httpmessages.h"

#include <cstdint>

namespace RadishSwitch
{

/// Turns requests away that a process has no time for, once their headers are in and before their bodies are read.
///
/// Asked on the connections' own strands, one after the other where a server has one worker.
class RequestIntake
{
public:
    virtual ~RequestIntake() = default;

    /// Whether the request with this head, which has no body yet, is refused. Asked once for each.
    virtual bool isRefusing(const HttpRequest &head) = 0;

    /// The answer to the request about which `isRefusing` was asked last; `request` has no body. The connection ends
    /// with it.
    virtual HttpResponse refuse(const HttpRequest &request) = 0;

    /// Whether a kept connection is to be closed after the answer whose head is about to be written, so that its caller
    /// connects anew. Asked at most once a second for each connection, however many requests it carries, so that the
    /// share of true answers is about the share of the connections that close in a second.
    virtual bool closesAfterAnswer()
    {
        return false;
    }

    /// A request that was not refused ended before its body was there: `unread` bytes of the declared length are
    /// missing `age` after the request began.
    virtual void noteCutOff(std::int64_t /*unread*/, Duration /*age*/)
    {
    }
};

}
