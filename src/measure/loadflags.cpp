#include "loadflags.h"

#include "base/failure.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <CLI/CLI.hpp>

#include <cmath>

namespace RadishSwitch
{

namespace
{

Duration secondsOf(double count)
{
    return Duration(std::llround(count * 1e6));
}

absl::StatusOr<LoadOrganisation> organisationOf(const std::string &text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, ',');
    LoadOrganisation organisation;
    if (parts.size() < 3 || parts.size() > 4
        || (parts.size() == 4 && !absl::SimpleAtod(parts[3], &organisation.weight))) {
        return makeFailure(FailureCode::InvalidSettings, "no NAME,KEY,BUDGET[,WEIGHT]: " + text);
    }
    organisation.name = parts[0];
    organisation.key = parts[1];
    organisation.budget = parts[2];
    return organisation;
}

LoadTarget targetOf(const std::string &text)
{
    const auto comma = text.find(',');
    return LoadTarget{text.substr(0, comma), comma == std::string::npos ? "" : text.substr(comma + 1)};
}

}

void LoadFlags::addTo(CLI::App &app)
{
    app.add_option("--target", m_targets, "Door: ADDRESS:PORT[,ADMIN-ADDRESS:PORT]")->required();
    app.add_option("--organisation", m_organisations, "Callers: NAME,KEY,ORGANISATION/BUDGET[,WEIGHT]");
    app.add_option("--name", m_settings.name, "Tells this load's requests from others'")->capture_default_str();
    app.add_option("--model", m_settings.model, "Model to ask for")->capture_default_str();
    app.add_option("--service", m_settings.service, "Plain service to call")->capture_default_str();
    app.add_option("--rate", m_settings.rate, "Arrivals a second; 0 for a closed loop")->capture_default_str();
    app.add_option("--callers", m_settings.callers, "Callers of a closed loop")->capture_default_str();
    app.add_option("--seconds", m_seconds, "How long load is offered")->capture_default_str();
    app.add_option("--requests", m_settings.maximumRequests, "Stop after so many requests")->capture_default_str();
    app.add_option("--max-tokens", m_settings.maximumTokens, "Limit of each answer")->capture_default_str();
    app.add_option("--prompt-words", m_settings.promptWords, "Words of each question")->capture_default_str();
    app.add_option("--prefix-groups", m_settings.prefixGroups, "Different system messages")->capture_default_str();
    app.add_option("--prefix-words", m_settings.prefixWords, "Words of a system message")->capture_default_str();
    app.add_option("--streamed-share", m_settings.streamedShare, "Share of streamed chats")->capture_default_str();
    app.add_option("--service-share", m_settings.serviceShare, "Share of plain look-ups")->capture_default_str();
    app.add_option("--order-share", m_settings.orderShare, "Share of plain orders")->capture_default_str();
    app.add_option("--duplicate-share", m_settings.duplicateShare, "Share sent twice at once")->capture_default_str();
    app.add_option("--duplicate-delay-ms", m_duplicateDelay, "Delay of the second one")->capture_default_str();
    app.add_option("--unkeyed-share", m_settings.unkeyedShare, "Share without a key")->capture_default_str();
    app.add_option("--slow-reader-share", m_settings.slowReaderShare, "Share of slow readers")->capture_default_str();
    app.add_option("--slow-read-interval-ms", m_slowReadInterval, "Their pause at each read")->capture_default_str();
    app.add_option("--tries", m_settings.maximumTries, "Tries of a request whose answer was lost")
        ->capture_default_str();
    app.add_option("--retry-delay-ms", m_retryDelay, "Pause before the next try")->capture_default_str();
    app.add_flag("--retry-refused", m_settings.isRefusalRetried, "Come back when a refusal says when");
    app.add_option("--timeout-seconds", m_timeoutSeconds, "Longest wait for a byte")->capture_default_str();
    app.add_option("--deadline-ms", m_deadline, "Deadline that the requests carry")->capture_default_str();
    app.add_option("--seed", m_settings.seed, "Seed of all that is drawn")->capture_default_str();
    app.add_option("--log", m_settings.logFile, "File to which each try is appended as JSON");
    app.add_option("--threads", m_threads, "Worker threads")->check(CLI::PositiveNumber)->capture_default_str();
}

absl::StatusOr<LoadSettings> LoadFlags::settings(bool isDirect) const
{
    LoadSettings settings = m_settings;
    settings.isDirect = isDirect;
    settings.duration = secondsOf(m_seconds);
    settings.timeout = secondsOf(m_timeoutSeconds);
    settings.deadline = std::chrono::milliseconds(m_deadline);
    settings.duplicateDelay = std::chrono::milliseconds(m_duplicateDelay);
    settings.slowReadInterval = std::chrono::milliseconds(m_slowReadInterval);
    settings.retryDelay = std::chrono::milliseconds(m_retryDelay);
    for (const std::string &text : m_targets) {
        settings.targets.push_back(targetOf(text));
    }
    for (const std::string &text : m_organisations) {
        const auto organisation = organisationOf(text);
        if (!organisation.ok()) {
            return organisation.status();
        }
        settings.organisations.push_back(*organisation);
    }
    return settings;
}

int LoadFlags::threads() const
{
    return m_threads;
}

}
