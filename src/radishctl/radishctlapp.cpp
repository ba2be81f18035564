#include "radishctlapp.h"

#include "auditverb.h"
#include "budgetverbs.h"
#include "fleetverbs.h"
#include "tableverbs.h"

#include <CLI/CLI.hpp>

#include <map>

namespace RadishSwitch
{

namespace
{

constexpr char kDescription[] = "Steers a radishswitch fleet: the table, budgets, instances and the audit trail.";
constexpr char kFooter[] = "Examples:\n"
                           "  radishctl --platform 10.0.0.9:9000 org create magnolia share=300\n"
                           "  radishctl table export > table.csv\n"
                           "  radishctl table plan declarations/ --output json\n"
                           "\n"
                           "Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 `table plan` found changes,\n"
                           "4 somebody else changed the same first.";

const std::map<std::string, OutputFormat> kOutputFormats{{"table", OutputFormat::Table}, {"json", OutputFormat::Json}};

}

RadishctlApp::RadishctlApp(EnvironmentFactory factory, GlobalOptions defaults, std::ostream &out, std::ostream &err)
    : m_factory(std::move(factory))
    , m_out(out)
    , m_err(err)
    , m_app(std::make_unique<CLI::App>(kDescription, "radishctl"))
    , m_options(std::move(defaults))
{
    addGlobalOptions();
    addGroups();
}

RadishctlApp::~RadishctlApp() = default;

void RadishctlApp::addGlobalOptions()
{
    m_app->footer(kFooter);
    m_app->require_subcommand(1);
    // Global options may stand after the verb, where hands put them.
    m_app->fallthrough();
    m_app->add_option("--platform", m_options.platform, "IP:PORT of the platform's object API")
        ->envname("RADISHSWITCH_PLATFORM");
    m_app->add_option("--operator", m_options.operatorName, "Your name, for the audit trail")
        ->envname("RADISHSWITCH_OPERATOR");
    m_app->add_option("--from", m_options.fromWhere, "Where you work, for the audit trail; this host by default")
        ->envname("RADISHSWITCH_FROM");
    m_app->add_option("-o,--output", m_options.output, "table or json")
        ->transform(CLI::CheckedTransformer(kOutputFormats))
        ->envname("RADISHSWITCH_OUTPUT");
    m_app->add_option("--ledger-shards", m_options.ledgerShards, "Shards of the ledger, as the entries are set")
        ->envname("RADISHSWITCH_LEDGER_SHARDS")
        ->capture_default_str();
}

void RadishctlApp::addGroups()
{
    m_groups.push_back(std::make_unique<TableVerbs>());
    m_groups.push_back(std::make_unique<RowVerbs>(TableKind::Organisation, "org", "Organisations and their API keys",
                                                  "magnolia", "share=300 ceiling_concurrent=40"));
    m_groups.push_back(std::make_unique<RowVerbs>(TableKind::Pool, "pool", "Pools of endpoints", "drape-llm",
                                                  "models=drape-7b policy=default"));
    m_groups.push_back(std::make_unique<RowVerbs>(TableKind::Route, "route", "Which requests go to which pool",
                                                  "all-drape", "model=drape-7b pool=drape-llm"));
    m_groups.push_back(std::make_unique<RowVerbs>(TableKind::EndpointGroup, "group",
                                                  "Weights of a pool's endpoints by availability zone", "drape-hall-a",
                                                  "pool=drape-llm zone=hall-a weight_percent=0"));
    m_groups.push_back(std::make_unique<BudgetVerbs>());
    m_groups.push_back(std::make_unique<FleetVerbs>());
    m_groups.push_back(std::make_unique<AuditVerb>());
    for (const auto &group : m_groups) {
        group->addTo(*m_app, m_chosen);
    }
}

ExitCode RadishctlApp::run(std::vector<std::string> arguments)
{
    std::reverse(arguments.begin(), arguments.end());
    try {
        m_app->parse(std::move(arguments));
    } catch (const CLI::ParseError &error) {
        return m_app->exit(error, m_out, m_err) == 0 ? ExitCode::Ok : ExitCode::Usage;
    }
    return runChosen();
}

ExitCode RadishctlApp::runChosen()
{
    const absl::StatusOr<CommandEnvironment> environment = m_factory(m_options);
    if (!environment.ok()) {
        Output(m_out, m_err, m_options.output).printFailure(environment.status());
        return exitCodeOf(environment.status());
    }
    CommandContext context(*environment, m_options, m_out, m_err);
    return m_chosen(context);
}

}
