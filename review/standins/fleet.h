#pragma once

// Starts the project's programs with the commands of deploy/system.toml, with settings like those of a small
// deployment, and a store, on loopback addresses of their own.

#include "record.h"
#include "store.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>

namespace review
{

/// Ends a case that could not run.
[[noreturn]] inline void cannotRun(const std::string &why)
{
    std::fprintf(stderr, "the case can't run: %s\n", why.c_str());
    std::_Exit(2);
}

/// A program of the project. It is killed with its object, and with the process that started it.
class Program
{
public:
    Program(std::string name, std::vector<std::string> command, std::vector<std::string> environment,
            std::string logFile)
        : m_name(std::move(name))
        , m_command(std::move(command))
        , m_environment(std::move(environment))
        , m_logFile(std::move(logFile))
    {
        start();
    }

    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    ~Program()
    {
        kill();
    }

    const std::string &name() const
    {
        return m_name;
    }

    void start()
    {
        std::vector<char *> arguments = pointersTo(m_command);
        std::vector<char *> environment = pointersTo(m_environment);
        const pid_t parent = ::getpid();
        m_ended.reset();
        m_pid = ::fork();
        if (m_pid != 0) {
            return;
        }
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            std::_Exit(127);
        }
        const int log = ::open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(arguments.front(), arguments.data(), environment.data());
        std::_Exit(127);
    }

    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }

    void kill()
    {
        if (m_pid > 0) {
            signal(SIGKILL);
            int status = 0;
            ::waitpid(m_pid, &status, 0);
            m_pid = 0;
        }
        // Only the whole system's first start has `bootstrap` set.
        std::replace(m_command.begin(), m_command.end(), std::string("--first-start=true"),
                     std::string("--first-start=false"));
    }

    /// How the process ended by itself, if it did.
    std::optional<std::string> ended()
    {
        int status = 0;
        if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = 0;
            m_ended = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                          : "exit code " + std::to_string(WEXITSTATUS(status));
        }
        return m_ended;
    }

private:
    static std::vector<char *> pointersTo(std::vector<std::string> &texts)
    {
        std::vector<char *> pointers;
        for (std::string &it : texts) {
            pointers.push_back(it.data());
        }
        pointers.push_back(nullptr);
        return pointers;
    }

    const std::string m_name;
    std::vector<std::string> m_command;
    std::vector<std::string> m_environment;
    const std::string m_logFile;
    pid_t m_pid = 0;
    std::optional<std::string> m_ended;
};

/// The `run` line of a role of the deploy file.
inline std::string runLine(const std::string &role)
{
    std::ifstream file("deploy/system.toml");
    std::string line;
    bool isInRole = false;
    while (std::getline(file, line)) {
        if (line.starts_with("[")) {
            isInRole = line == "[roles." + role + "]";
        }
        if (isInRole && line.starts_with("run = \"")) {
            return line.substr(7, line.rfind('"') - 7);
        }
    }
    cannotRun("deploy/system.toml has no role " + role);
}

/// Fills the placeholders of a `run` line: {{name}}, {{#name}}..{{.}}..{{/name}} and {{^name}}..{{/name}}.
inline std::string filled(std::string text, const std::map<std::string, std::string> &fields)
{
    const auto valueOf = [&fields](const std::string &name) {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    };
    std::size_t begin = 0;
    while ((begin = text.find("{{")) != std::string::npos) {
        const std::size_t end = text.find("}}", begin);
        const std::string tag = text.substr(begin + 2, end - begin - 2);
        if (tag[0] != '#' && tag[0] != '^') {
            text.replace(begin, end + 2 - begin, valueOf(tag));
            continue;
        }
        const std::string name = tag.substr(1);
        const std::string closing = "{{/" + name + "}}";
        const std::size_t close = text.find(closing, end);
        std::string inner = text.substr(end + 2, close - end - 2);
        const std::string value = valueOf(name);
        if (const std::size_t dot = inner.find("{{.}}"); dot != std::string::npos) {
            inner.replace(dot, 5, value);
        }
        const bool isShown = value.empty() == (tag[0] == '^');
        text.replace(begin, close + closing.size() - begin, isShown ? inner : "");
    }
    return text;
}

/// As many as on the smallest deployment; their keys are key-0 and so on.
constexpr int kTenants = 10;

class Fleet
{
public:
    explicit Fleet(Record &record)
        : m_record(record)
        , m_network("127." + std::to_string(20 + ::getpid() % 200) + "." + std::to_string(::getpid() / 200 % 250))
        , m_folder(std::filesystem::temp_directory_path() / ("review-" + std::to_string(::getpid())))
        , m_store(address(1, 8223))
    {
        std::filesystem::create_directories(m_folder);
        if (!m_store.isListening()) {
            cannotRun("the store's address is in use");
        }
    }

    /// Ends all programs and the case. Threads of the stand-ins still run, so that nothing is destroyed before.
    [[noreturn]] void finish(int code)
    {
        m_programs.clear();
        if (!std::getenv("KEEP")) {
            std::filesystem::remove_all(m_folder);
        }
        std::_Exit(code);
    }

    Store &store()
    {
        return m_store;
    }

    Record &record()
    {
        return m_record;
    }

    std::string folder() const
    {
        return m_folder;
    }

    Address address(int host, int port) const
    {
        return {m_network + "." + std::to_string(host), port};
    }

    Address gatewayAddress(int index) const
    {
        return address(10 + index, 8227);
    }

    Program &startGateway(int index)
    {
        std::map<std::string, std::string> fields = commonFields("edge-zone-a-" + std::to_string(index), 10 + index);
        fields["listen.frontend"] = gatewayAddress(index).text();
        fields["listen.readiness"] = address(10 + index, 8220).text();
        return startProgram("gateway", fields);
    }

    /// The process beside the replica at `app`.
    Program &startHome(int index, const Address &app)
    {
        std::map<std::string, std::string> fields = commonFields("side-zone-a-" + std::to_string(index), 50 + index);
        fields["app"] = app.text();
        return startProgram("home", fields);
    }

    /// Whether the gateway says that it is ready; deploy/wire.toml names the path.
    bool isReady(int index) const
    {
        const int fd = connectTo(address(10 + index, 8220), 300);
        if (fd < 0) {
            return false;
        }
        Message answer;
        const bool isAnswered = sendAll(fd, "GET /readyz HTTP/1.1\r\nHost: edge\r\nConnection: close\r\n\r\n")
            && Reader(fd).readHead(answer, 500);
        ::close(fd);
        return isAnswered && answer.secondWord() == "200";
    }

    void awaitReady(int index, int timeoutMs = 15000) const
    {
        for (int waited = 0; !isReady(index); waited += 50) {
            if (waited > timeoutMs) {
                cannotRun("gateway " + std::to_string(index) + " isn't ready at the start");
            }
            pause(50);
        }
    }

    /// Writes config/main as the operator does.
    void configure(const nlohmann::json &routes, const nlohmann::json &services)
    {
        nlohmann::json tenants = nlohmann::json::array();
        for (int n = 0; n < kTenants; ++n) {
            const std::string number = std::to_string(n);
            tenants.push_back({{"name", "shop-" + number}, {"api-keys", {"key-" + number}}, {"reserved", 100000000}});
        }
        const nlohmann::json configuration{{"version", ++m_version},
                                           {"routes", routes},
                                           {"services", services},
                                           {"limits",
                                            {{"max-header-bytes", 16384},
                                             {"max-body-bytes", 4194304},
                                             {"header-timeout-ms", 5000},
                                             {"idle-timeout-ms", 15000}}},
                                           {"tenants", tenants}};
        m_store.write("config", "main", configuration.dump());
    }

private:
    /// Values of magloom-ops, the smallest deployment.
    std::map<std::string, std::string> commonFields(const std::string &name, int host) const
    {
        return {{"node-name", name},
                {"region", "south-central"},
                {"zone", "zone-a"},
                {"ip", address(host, 0).ip},
                {"limits.cpu-share", "0.19"},
                {"limits.link-mbps", "1000.0"},
                {"internal-ports.0", "7340"},
                {"platform.address", m_store.address().text()},
                {"bootstrap", "true"},
                {"bounds.retry-budget-ratio", "0.2"},
                {"bounds.config-apply-ms", "2000"},
                {"bounds.grace-s", "8"}};
    }

    Program &startProgram(const std::string &role, const std::map<std::string, std::string> &fields)
    {
        std::istringstream words(filled(runLine(role), fields));
        std::vector<std::string> command;
        for (std::string word; words >> word;) {
            command.push_back(word);
        }
        const std::string &name = fields.at("node-name");
        if (!std::filesystem::exists(command.front())) {
            cannotRun(command.front() + " isn't built");
        }
        m_record.line(name, "start");
        m_programs.push_back(
            std::make_unique<Program>(name, command,
                                      std::vector<std::string>{"PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C",
                                                               "RADISHSWITCH_ZONE_REGIONS=zone-a=south-central"},
                                      m_folder + "/" + name + ".log"));
        return *m_programs.back();
    }

    Record &m_record;
    const std::string m_network;
    const std::string m_folder;
    Store m_store;
    std::vector<std::unique_ptr<Program>> m_programs;
    int m_version = 0;
};

/// Whether the disruption is to be brought about.
inline bool isTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return !text || std::strcmp(text, "0") != 0;
}

}
