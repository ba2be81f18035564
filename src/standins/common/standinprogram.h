#pragma once

#include "httpmessages.h"
#include "socketaddress.h"
#include "workerpool.h"

#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// Starts the workers, tells on the standard output where the program listens, and returns after SIGTERM or SIGINT,
/// with the workers stopped.
void runUntilStopped(WorkerPool &workers, const SocketAddress &address);

/// Microseconds since 1970. Stand-ins and the measuring tool run on one machine and stamp their records with it.
std::int64_t recordTime();

HttpResponse jsonResponse(int status, std::string body);

/// An error in the form of the API that the stand-ins speak.
HttpResponse errorResponse(int status, const std::string &code, const std::string &message);

/// The value of a query's parameter in a target, or an empty string.
std::string queryParameter(const std::string &target, const std::string &name);

/// The path of a target, without its query.
std::string pathOf(const std::string &target);

}
