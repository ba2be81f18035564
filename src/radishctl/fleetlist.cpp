#include "fleetlist.h"

#include "base/failure.h"

#include <absl/strings/str_cat.h>

#include <mutex>

namespace RadishSwitch
{

namespace
{

constexpr char kInstancesPrefix[] = "instances/";
constexpr char kStatusTarget[] = "/status";

std::string member(const nlohmann::json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

absl::StatusOr<nlohmann::json> contentOf(const absl::StatusOr<AdminAnswer> &answer, const std::string &address)
{
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->status == 404) {
        return makeFailure(FailureCode::RunUnknown, address + " knows no such thing");
    }
    const nlohmann::json json = nlohmann::json::parse(answer->body, nullptr, false);
    const bool isSuccess = answer->status >= 200 && answer->status < 300;
    if (!isSuccess || !json.is_object()) {
        return makeFailure(FailureCode::MalformedMessage,
                           absl::StrCat(address, " answered with ", answer->status, ": ", answer->body.substr(0, 200)));
    }
    return json;
}

/// Answers that come on any thread, in any order.
struct Gathering {
    std::mutex mutex;
    std::vector<absl::StatusOr<AdminAnswer>> answers;
    std::size_t missing = 0;
};

}

absl::StatusOr<std::vector<FleetInstance>> readFleet(CommandContext &context, const std::string &role)
{
    const absl::StatusOr<StoreChanges> listed =
        context.await<StoreChanges>([&](ObjectStore::Callback<StoreChanges> done) {
            context.environment().store.list(kInstancesPrefix, std::move(done));
        });
    if (!listed.ok()) {
        return listed.status();
    }
    std::vector<FleetInstance> fleet;
    for (const StoredObject &object : listed->objects) {
        const nlohmann::json json = nlohmann::json::parse(object.value, nullptr, false);
        if (!json.is_object()) {
            continue;
        }
        FleetInstance it{member(json, "name"), member(json, "role"),   member(json, "address"), member(json, "admin"),
                         member(json, "zone"), member(json, "region"), member(json, "pool"),    member(json, "state")};
        if (role.empty() || it.role == role) {
            fleet.push_back(std::move(it));
        }
    }
    return fleet;
}

absl::StatusOr<nlohmann::json> askAdmin(CommandContext &context, const std::string &address, const std::string &method,
                                        const std::string &target)
{
    const auto answer = context.await<AdminAnswer>([&](std::function<void(absl::StatusOr<AdminAnswer>)> done) {
        context.environment().admin.ask(address, method, target, std::move(done));
    });
    return contentOf(answer, address);
}

std::vector<InstanceStatus> readStatuses(CommandContext &context, const std::vector<FleetInstance> &instances)
{
    const auto gathering = std::make_shared<Gathering>();
    gathering->answers.assign(instances.size(), makeFailure(FailureCode::Internal, "not asked"));
    gathering->missing = instances.size();
    context.environment().waiter.wait([&](const std::function<void()> &done) {
        if (instances.empty()) {
            done();
            return;
        }
        for (std::size_t n = 0; n < instances.size(); ++n) {
            const auto take = [gathering, n, done](absl::StatusOr<AdminAnswer> answer) {
                const std::lock_guard lock(gathering->mutex);
                gathering->answers[n] = std::move(answer);
                if (--gathering->missing == 0) {
                    done();
                }
            };
            if (instances[n].admin.empty()) {
                context.environment().tasks.post([take] {
                    take(makeFailure(FailureCode::ConnectionLost, "it lists no admin address"));
                });
            } else {
                context.environment().admin.ask(instances[n].admin, "GET", kStatusTarget, take);
            }
        }
    });
    std::vector<InstanceStatus> statuses;
    for (std::size_t n = 0; n < instances.size(); ++n) {
        statuses.push_back({instances[n], contentOf(gathering->answers[n], instances[n].admin)});
    }
    return statuses;
}

}
