#include "agentsettings.h"

#include "base/failure.h"

#include <memory>
#include <sstream>

namespace RadishSwitch
{

namespace
{

constexpr int kMostRuns = 100'000;
constexpr int kMostAnswerMegabytes = 64 * 1024;

std::vector<std::string> splitNames(const std::string &text)
{
    std::vector<std::string> names;
    std::istringstream stream(text);
    for (std::string name; std::getline(stream, name, ',');) {
        if (!name.empty()) {
            names.push_back(name);
        }
    }
    return names;
}

void addEndpointSettings(SettingsParser &parser, AgentSettings &settings)
{
    const auto models = std::make_shared<std::string>();
    parser.add("endpoint", settings.endpoint, "The endpoint beside which the agent runs");
    parser.require("endpoint");
    parser.addChoice(
        "endpoint-kind", {"engine", "service"},
        [&settings](std::size_t n) {
            settings.endpointKind = n == 0 ? EndpointKind::Engine : EndpointKind::Service;
        },
        "engine", "A model engine with the OpenAI-compatible API, or a plain HTTP service");
    parser.add("name", settings.name,
               "The instance's name in the platform's list; the endpoint's address if not given");
    parser.add("pool", settings.pool, "The pool to which the endpoint belongs");
    parser.require("pool");
    parser.add("models", *models, "Models that the endpoint serves, apart by commas, where it does not tell");
    parser.addNumber("capacity", settings.capacity, 0, kMostRuns,
                     "Runs that the endpoint takes at once, where it does not tell; 0 for unknown");
    parser.add("health-target", settings.healthTarget, "What is asked of a plain service to see that it lives");
    parser.addCheck([&settings, models] {
        settings.models = splitNames(*models);
        return absl::OkStatus();
    });
}

void addTimeouts(SettingsParser &parser, AgentSettings &settings)
{
    parser.add("first-byte-timeout", settings.firstByteTimeout,
               "How long the endpoint may take to accept a connection, and to an answer's first byte before the entry "
               "is told that it is silent");
    parser.add("endpoint-silence-timeout", settings.silenceTimeout,
               "How long the endpoint may be silent in mid-answer before the entry is told; 0 for never");
    parser.add("drain-timeout", settings.drainTimeout, "How long a stop waits for runs and readers");
}

}

void addAgentSettings(SettingsParser &parser, AgentSettings &settings)
{
    addProcessSettings(parser, settings.process);
    addFleetSettings(parser, settings.fleet);
    parser.add("listen", settings.listen, "Where the fleet reaches this agent");
    parser.add("advertise", settings.advertise, "How the fleet is told to reach it; as --listen when not given");
    parser.add("admin-listen", settings.adminListen, "Where /metrics, /livez and /readyz are served");
    addEndpointSettings(parser, settings);
    addTimeouts(parser, settings);
    parser.addNumber("answer-megabytes", settings.answerMegabytes, 1, kMostAnswerMegabytes,
                     "Memory for kept answers; the oldest finished ones give way");
}

}
