#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>

namespace RadishSwitch
{

/// The other processes of the fleet as the table's follower sees them.
class TablePeerPort
{
public:
    virtual ~TablePeerPort() = default;

    /// Asks a peer for what it knows past `fromRevision`: the bytes of its `TableFollower::documentSince`, empty when
    /// it knows nothing newer. The callback comes once, on any thread, never from inside the call; ConnectionLost or
    /// ConnectionSilent when the peer could not be asked.
    virtual void pullTable(const std::string &peer, std::uint64_t fromRevision,
                           std::function<void(absl::StatusOr<std::string>)> callback) = 0;
};

}
