#include "tablewaitverb.h"

#include "base/failure.h"
#include "fleetlist.h"

#include <absl/strings/str_cat.h>
#include <CLI/CLI.hpp>

namespace RadishSwitch
{

namespace
{

constexpr Duration kPollInterval = std::chrono::milliseconds(200);

/// One entry that is not at the revision.
struct Laggard {
    std::string name;
    /// Zero when it could not be asked.
    std::uint64_t revision = 0;
    std::string reason;
};

std::vector<Laggard> laggardsOf(const std::vector<InstanceStatus> &statuses, std::uint64_t revision)
{
    std::vector<Laggard> laggards;
    for (const InstanceStatus &it : statuses) {
        if (!it.status.ok()) {
            laggards.push_back({it.instance.name, 0, std::string(it.status.status().message())});
            continue;
        }
        const std::uint64_t has = it.status->value("table_revision", std::uint64_t{0});
        if (has < revision) {
            laggards.push_back({it.instance.name, has, absl::StrCat("at revision ", has)});
        }
    }
    return laggards;
}

std::string describe(const std::vector<Laggard> &laggards, std::uint64_t revision)
{
    std::string text = absl::StrCat("revision ", revision, " is not in force in ", laggards.size(), ":");
    for (const Laggard &it : laggards) {
        absl::StrAppend(&text, "\n  ", it.name, ": ", it.reason);
    }
    return text;
}

}

void TableWaitVerb::addTo(CLI::App &parent, Command &chosen)
{
    CLI::App *verb = addVerb(parent, "wait", "Wait until every entry has a revision in force; tell which lack it",
                             "  radishctl table wait 41\n"
                             "  radishctl table wait 41 --timeout 30\n"
                             "  radishctl table wait 41 --admin 10.0.0.1:9100 --admin 10.0.0.2:9100",
                             chosen, [this](CommandContext &context) {
                                 return wait(context);
                             });
    verb->add_option("revision", m_revision, "The revision to wait for")->required();
    verb->add_option("-t,--timeout", m_seconds, "Seconds to wait")->capture_default_str();
    verb->add_option("--admin", m_admins, "Ask these admin addresses, not those of the platform's list");
}

ExitCode TableWaitVerb::wait(CommandContext &context) const
{
    std::vector<FleetInstance> entries;
    for (const std::string &address : m_admins) {
        FleetInstance instance;
        instance.name = address;
        instance.admin = address;
        entries.push_back(std::move(instance));
    }
    if (entries.empty()) {
        const absl::StatusOr<std::vector<FleetInstance>> listed = readFleet(context, "entry");
        if (!listed.ok()) {
            return context.fail(listed.status());
        }
        entries = *listed;
    }
    // "All of none" would let a pipeline go on while nothing serves.
    if (entries.empty()) {
        return context.fail(makeFailure(FailureCode::ObjectMissing, "the platform lists no entry"));
    }
    TimerService &timers = context.environment().timers;
    const Instant deadline = timers.now() + Duration(static_cast<Duration::rep>(m_seconds * 1e6));
    std::vector<Laggard> laggards = laggardsOf(readStatuses(context, entries), m_revision);
    while (!laggards.empty() && timers.now() < deadline) {
        context.environment().waiter.pause(kPollInterval);
        laggards = laggardsOf(readStatuses(context, entries), m_revision);
    }
    nlohmann::json lacking = nlohmann::json::array();
    for (const Laggard &it : laggards) {
        lacking.push_back({{"name", it.name}, {"table_revision", it.revision}, {"reason", it.reason}});
    }
    const std::string text = laggards.empty()
        ? absl::StrCat("revision ", m_revision, " is in force in all ", entries.size(), " entries")
        : describe(laggards, m_revision);
    context.output().print({{"revision", m_revision}, {"asked", entries.size()}, {"lacking", lacking}}, text);
    return laggards.empty() ? ExitCode::Ok : ExitCode::Failed;
}

}
