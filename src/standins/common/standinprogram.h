#pragma once

#include "failure.h"
#include "httpmessages.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// Where a stand-in listens.
struct ListenAddress {
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const ListenAddress &) const = default;
};

/// Reads "address:port". InvalidSettings when it is none.
absl::StatusOr<ListenAddress> parseListenAddress(const std::string &text);

/// Blocks SIGTERM and SIGINT in the calling thread and those it starts. To be called before any thread starts.
void blockStopSignals();

/// Tells on the standard output that the program is ready, and waits for SIGTERM or SIGINT.
void announceAndWaitForStop(const std::string &address, std::uint16_t port);

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
