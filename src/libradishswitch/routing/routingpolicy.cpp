#include "routing/routingpolicy.h"

#include "routing/defaultpolicy.h"
#include "routing/leastoutstandingpolicy.h"
#include "routing/roundrobinpolicy.h"

namespace RadishSwitch
{

std::unique_ptr<RoutingPolicy> makeRoutingPolicy(std::string_view name)
{
    if (name.empty() || name == DefaultPolicy::kName) {
        return std::make_unique<DefaultPolicy>();
    }
    if (name == RoundRobinPolicy::kName) {
        return std::make_unique<RoundRobinPolicy>();
    }
    if (name == LeastOutstandingPolicy::kName) {
        return std::make_unique<LeastOutstandingPolicy>();
    }
    return nullptr;
}

const std::vector<std::string> &routingPolicyNames()
{
    static const std::vector<std::string> kNames{
        std::string(DefaultPolicy::kName),
        std::string(RoundRobinPolicy::kName),
        std::string(LeastOutstandingPolicy::kName),
    };
    return kNames;
}

}
