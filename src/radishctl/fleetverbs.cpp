#include "fleetverbs.h"

#include "base/failure.h"
#include "statusreport.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <CLI/CLI.hpp>

#include <algorithm>

namespace RadishSwitch
{

namespace
{

constexpr char kClearScreen[] = "\x1b[H\x1b[2J";
constexpr char kAgentRole[] = "agent";
constexpr char kEntryRole[] = "entry";

/// Whether a text can stand in a request's target as it is.
bool isPlainName(const std::string &text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return absl::ascii_isalnum(c) || c == '-' || c == '_' || c == '.' || c == ':';
    });
}

/// The way of a request at one entry, a line a step.
std::string storyText(const std::string &entry, const nlohmann::json &story)
{
    std::string text = absl::StrCat(entry, ": ", story.value("result", "unknown"), ", budget ",
                                    story.value("budget", "unknown"), ", pool ", story.value("pool", "unknown"));
    for (const nlohmann::json &step : story.value("steps", nlohmann::json::array())) {
        absl::StrAppend(&text, "\n  ", formatWallClock(step.value("at_ms", std::int64_t{0})), "  ",
                        step.value("text", ""));
    }
    return text;
}

}

void FleetVerbs::addTo(CLI::App &parent, Command &chosen)
{
    CLI::App *showing = addVerb(parent, "status", "Show the fleet, pools, endpoints, revisions, queues and refusals",
                                "  radishctl status\n"
                                "  radishctl status --watch --interval 1",
                                chosen, [this](CommandContext &context) {
                                    return status(context);
                                });
    showing->add_flag("--budgets", m_withBudgets, "Add the sums of all budgets; reads the whole ledger");
    showing->add_flag("-w,--watch", m_watches, "Redraw until interrupted");
    showing->add_option("--interval", m_intervalSeconds, "Seconds between two redraws")->capture_default_str();
    showing->add_option("--redraws", m_redraws, "End after so many; 0 goes on")->capture_default_str();

    CLI::App *draining = addVerb(parent, "drain", "Let an instance finish its work and take no new work",
                                 "  radishctl drain entry-hall-a-1", chosen, [this](CommandContext &context) {
                                     return drain(context);
                                 });
    draining->add_option("instance", m_name, "The instance's name in the platform's list")->required();

    CLI::App *explaining = addVerb(parent, "why", "Tell what became of a request, and why",
                                   "  radishctl why req-4f1c09a27be1d533", chosen, [this](CommandContext &context) {
                                       return why(context);
                                   });
    explaining->add_option("request", m_name, "The request id, from the answer's header or error body")->required();
    addEndpointVerbs(parent, chosen);
}

void FleetVerbs::addEndpointVerbs(CLI::App &parent, Command &chosen)
{
    CLI::App *group = parent.add_subcommand("endpoint", "The endpoints that the platform lists");
    group->require_subcommand(1);
    addVerb(*group, "list", "List endpoints with their pools, zones and states", "  radishctl endpoint list", chosen,
            [this](CommandContext &context) {
                return listEndpoints(context);
            });
    CLI::App *showing = addVerb(*group, "show", "Show what an endpoint's agent tells",
                                "  radishctl endpoint show engine-3", chosen, [this](CommandContext &context) {
                                    return showEndpoint(context);
                                });
    showing->add_option("instance", m_name, "The instance's name in the platform's list")->required();
    CLI::App *draining = addVerb(*group, "drain", "Let an endpoint finish its work and take no new work",
                                 "  radishctl endpoint drain engine-3", chosen, [this](CommandContext &context) {
                                     return drain(context);
                                 });
    draining->add_option("instance", m_name, "The instance's name in the platform's list")->required();
}

ExitCode FleetVerbs::status(CommandContext &context) const
{
    ExitCode code = ExitCode::Ok;
    for (int n = 0; n == 0 || (m_watches && (m_redraws == 0 || n < m_redraws)); ++n) {
        if (n > 0) {
            context.environment().waiter.pause(Duration(static_cast<Duration::rep>(m_intervalSeconds * 1e6)));
        }
        if (m_watches && !context.output().isJson()) {
            context.output().printRaw(kClearScreen);
        }
        code = printStatus(context);
    }
    return code;
}

ExitCode FleetVerbs::printStatus(CommandContext &context) const
{
    const absl::StatusOr<std::vector<FleetInstance>> fleet = readFleet(context, "");
    if (!fleet.ok()) {
        return context.fail(fleet.status());
    }
    const absl::StatusOr<TableDocument> document = context.readTable();
    if (!document.ok()) {
        return context.fail(document.status());
    }
    StatusReport report(*document, readStatuses(context, *fleet));
    if (m_withBudgets) {
        using Budgets = std::vector<BudgetSummary>;
        const auto budgets = context.awaitBounded<Budgets>([&](LedgerEditor::Callback<Budgets> done) {
            context.environment().budgets.list(OrganisationId(), std::move(done));
        });
        if (!budgets.ok()) {
            return context.fail(budgets.status());
        }
        report.setBudgets(*budgets);
    }
    report.print(context.output());
    return ExitCode::Ok;
}

absl::StatusOr<FleetInstance> FleetVerbs::findInstance(CommandContext &context) const
{
    const absl::StatusOr<std::vector<FleetInstance>> fleet = readFleet(context, "");
    if (!fleet.ok()) {
        return fleet.status();
    }
    for (const FleetInstance &it : *fleet) {
        if (it.name == m_name) {
            return it;
        }
    }
    return makeFailure(FailureCode::ObjectMissing, "the platform lists no instance '" + m_name + "'");
}

ExitCode FleetVerbs::drain(CommandContext &context) const
{
    const absl::StatusOr<FleetInstance> instance = findInstance(context);
    if (!instance.ok()) {
        return context.fail(instance.status());
    }
    const absl::StatusOr<nlohmann::json> answer = askAdmin(context, instance->admin, "POST", "/drain");
    if (!answer.ok()) {
        return context.fail(answer.status());
    }
    context.output().print(*answer, m_name + " drains: it takes no new work, and ends when its work is done");
    return ExitCode::Ok;
}

/// A request is remembered by the entry where it came in, and by others that it touched.
ExitCode FleetVerbs::why(CommandContext &context) const
{
    if (!isPlainName(m_name)) {
        return context.fail(makeFailure(FailureCode::InvalidSettings, "'" + m_name + "' is no request id"));
    }
    const absl::StatusOr<std::vector<FleetInstance>> entries = readFleet(context, kEntryRole);
    if (!entries.ok()) {
        return context.fail(entries.status());
    }
    nlohmann::json stories = nlohmann::json::array();
    std::string text;
    std::string unasked;
    for (const FleetInstance &entry : *entries) {
        absl::StatusOr<nlohmann::json> story = askAdmin(context, entry.admin, "GET", "/requests/" + m_name);
        if (story.ok()) {
            absl::StrAppend(&text, text.empty() ? "" : "\n", storyText(entry.name, *story));
            (*story)["entry"] = entry.name;
            stories.push_back(*std::move(story));
        } else if (failureCode(story.status()) != FailureCode::RunUnknown) {
            absl::StrAppend(&unasked, "; ", entry.name, " could not be asked");
        }
    }
    if (stories.empty()) {
        return context.fail(
            makeFailure(FailureCode::RunUnknown,
                        absl::StrCat("none of ", entries->size(), " entries remembers request ", m_name, unasked)));
    }
    context.output().print(stories, text);
    return ExitCode::Ok;
}

ExitCode FleetVerbs::listEndpoints(CommandContext &context) const
{
    const absl::StatusOr<std::vector<FleetInstance>> agents = readFleet(context, kAgentRole);
    if (!agents.ok()) {
        return context.fail(agents.status());
    }
    Sheet sheet{{"name", "pool", "zone", "region", "state", "address"}, {}};
    for (const FleetInstance &it : *agents) {
        sheet.rows.push_back({it.name, it.pool, it.zone, it.region, it.state, it.address});
    }
    context.output().print(sheet);
    return ExitCode::Ok;
}

ExitCode FleetVerbs::showEndpoint(CommandContext &context) const
{
    const absl::StatusOr<FleetInstance> instance = findInstance(context);
    if (!instance.ok()) {
        return context.fail(instance.status());
    }
    const absl::StatusOr<nlohmann::json> answer = askAdmin(context, instance->admin, "GET", "/status");
    if (!answer.ok()) {
        return context.fail(answer.status());
    }
    context.output().print(*answer, answer->dump(2));
    return ExitCode::Ok;
}

}
