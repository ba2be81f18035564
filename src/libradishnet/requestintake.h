#pragma once

#include "httpmessages.h"

namespace RadishSwitch
{

/// Turns requests away that a process has no time for, once their headers are in and before their bodies are read.
///
/// Asked on the connections' own strands, one after the other where a server has one worker.
class RequestIntake
{
public:
    virtual ~RequestIntake() = default;

    /// Whether the request that has just come is refused. Asked once for each.
    virtual bool isRefusing() = 0;

    /// The answer to a request that is refused; `request` has no body. The connection ends with it.
    virtual HttpResponse refuse(const HttpRequest &request) = 0;

    /// Whether a kept connection is to be closed after the answer whose head is about to be written, so that its caller
    /// connects anew. Asked at most once a second for each connection, however many requests it carries, so that the
    /// share of true answers is about the share of the connections that close in a second.
    virtual bool closesAfterAnswer()
    {
        return false;
    }
};

}
