#pragma once

#include "base/forwardingstore.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace RadishSwitch
{

/// A store of which the same query, asked again while its answer is on the way, is asked once.
///
/// Load pattern: a third of the gateways are turned away by the store and read it through a home, all of one
/// availability zone through the same one. Each has a watch of the configuration and one of the endpoints there, twice
/// in less than a second: worked out for 36 gateways, 90 calls a second of what five homes need to ask 13 times.
class CoalescingStore : public ForwardingStore
{
public:
    using ForwardingStore::ForwardingStore;

    void list(const std::string &prefix, Callback<StoreChanges> callback) override;
    void watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback) override;

private:
    /// A prefix, and the version from which it is watched; without one it is listed.
    using Query = std::pair<std::string, std::optional<std::uint64_t>>;
    using PendingCalls = std::map<Query, std::vector<Callback<StoreChanges>>>;

    /// Adds to those that wait for an answer. Whether the query is to be asked.
    bool join(const Query &query, Callback<StoreChanges> callback);
    Callback<StoreChanges> makeAnswerCallback(const Query &query);

    /// Shared with the calls under way, which may outlive this.
    std::shared_ptr<PendingCalls> m_pending = std::make_shared<PendingCalls>();
};

}
