#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <string>

namespace RadishSwitch
{

/// What a process's admin port answered.
struct AdminAnswer {
    int status = 0;
    std::string body;

    bool operator==(const AdminAnswer &) const = default;
};

/// The admin ports of the fleet's processes.
class AdminPort
{
public:
    virtual ~AdminPort() = default;

    /// Asks "address:port". ConnectionLost or ConnectionSilent when it could not be asked. The callback may come on any
    /// thread.
    virtual void ask(const std::string &address, const std::string &method, const std::string &target,
                     std::function<void(absl::StatusOr<AdminAnswer>)> callback) = 0;
};

}
