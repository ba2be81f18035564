#pragma once

// Stand-ins and a judge for the cases of the second review. Everything runs on loopback addresses: the project's store
// stand-in, gateways and homes as processes started with the commands of the deploy file, and, inside the process that
// includes this header, replicas and clients.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace review
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kBegin = Clock::now();

inline double now()
{
    return std::chrono::duration<double>(Clock::now() - kBegin).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

inline void sleepUntil(double moment)
{
    sleepFor(moment - now());
}

inline std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// What was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &file)
        : m_file(file)
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char buf[32];
        std::snprintf(buf, sizeof buf, "%9.3f  ", now());
        m_file << buf << text << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string &ip, int port, int *boundPort = nullptr)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    socklen_t n = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &n);
    if (boundPort) {
        *boundPort = ntohs(address.sin_port);
    }
    return fd;
}

inline int freePort(const std::string &ip)
{
    int port = 0;
    const int fd = listenOn(ip, 0, &port);
    close(fd);
    return port;
}

inline int connectTo(const std::string &ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

inline bool writeAll(int fd, const std::string &data)
{
    std::size_t done = 0;
    while (done < data.size()) {
        const ssize_t n = ::send(fd, data.data() + done, data.size() - done, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(n);
    }
    return true;
}

// A reset instead of an orderly end.
inline void resetConnection(int fd)
{
    const linger hard{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close(fd);
}

struct Message {
    std::string firstLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }

    int status() const
    {
        return firstLine.size() > 12 ? std::atoi(firstLine.c_str() + 9) : 0;
    }

    std::string method() const
    {
        return firstLine.substr(0, firstLine.find(' '));
    }

    std::string target() const
    {
        const std::size_t begin = firstLine.find(' ') + 1;
        return firstLine.substr(begin, firstLine.find(' ', begin) - begin);
    }
};

enum class ReadEnd { Whole, Closed, Reset, Timeout, Partial };

inline const char *name(ReadEnd end)
{
    switch (end) {
    case ReadEnd::Whole:
        return "whole";
    case ReadEnd::Closed:
        return "closed";
    case ReadEnd::Reset:
        return "reset";
    case ReadEnd::Timeout:
        return "timeout";
    case ReadEnd::Partial:
        return "partial";
    }
    return "?";
}

// Reads messages of a connection one after the other.
class Reader
{
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }

    // A body in chunks is handed over as it comes, if asked for.
    ReadEnd read(Message &message, double until, bool isAnswer,
                 const std::function<void(const std::string &)> &onPart = {})
    {
        message = Message();
        std::size_t end;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            const bool isEmpty = m_buffer.empty();
            if (const ReadEnd more = fill(until); more != ReadEnd::Whole) {
                return more == ReadEnd::Closed && !isEmpty ? ReadEnd::Partial : more;
            }
        }
        parseHead(message, m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            return readChunks(message, until, onPart);
        }
        const std::string length = message.header("Content-Length");
        if (!length.empty() || !isAnswer) {
            const std::size_t size = length.empty() ? 0 : std::stoull(length);
            while (m_buffer.size() < size) {
                if (const ReadEnd more = fill(until); more != ReadEnd::Whole) {
                    return more == ReadEnd::Closed ? ReadEnd::Partial : more;
                }
            }
            message.body = m_buffer.substr(0, size);
            m_buffer.erase(0, size);
            return ReadEnd::Whole;
        }
        ReadEnd more;
        while ((more = fill(until)) == ReadEnd::Whole) { }
        message.body = std::exchange(m_buffer, {});
        return more == ReadEnd::Closed ? ReadEnd::Whole : more;
    }

private:
    static void parseHead(Message &message, const std::string &head)
    {
        std::istringstream lines(head);
        std::string line;
        std::getline(lines, line);
        message.firstLine = line.substr(0, line.find('\r'));
        while (std::getline(lines, line)) {
            line = line.substr(0, line.find('\r'));
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                std::size_t begin = line.find_first_not_of(' ', colon + 1);
                message.headers.emplace_back(line.substr(0, colon),
                                             begin == std::string::npos ? std::string() : line.substr(begin));
            }
        }
    }

    ReadEnd readChunks(Message &message, double until, const std::function<void(const std::string &)> &onPart)
    {
        while (true) {
            std::size_t end;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (const ReadEnd more = fill(until); more != ReadEnd::Whole) {
                    return more == ReadEnd::Closed ? ReadEnd::Partial : more;
                }
            }
            const std::size_t size = std::stoull(m_buffer.substr(0, end), nullptr, 16);
            while (m_buffer.size() < end + 2 + size + 2) {
                if (const ReadEnd more = fill(until); more != ReadEnd::Whole) {
                    return more == ReadEnd::Closed ? ReadEnd::Partial : more;
                }
            }
            const std::string part = m_buffer.substr(end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return ReadEnd::Whole;
            }
            message.body += part;
            if (onPart) {
                onPart(part);
            }
        }
    }

    ReadEnd fill(double until)
    {
        pollfd wanted{m_fd, POLLIN, 0};
        const int wait = static_cast<int>(std::max(0.0, (until - now()) * 1000));
        if (poll(&wanted, 1, wait) <= 0) {
            return ReadEnd::Timeout;
        }
        char buf[65536];
        const ssize_t n = recv(m_fd, buf, sizeof buf, 0);
        if (n < 0) {
            return ReadEnd::Reset;
        }
        if (n == 0) {
            return ReadEnd::Closed;
        }
        m_buffer.append(buf, static_cast<std::size_t>(n));
        return ReadEnd::Whole;
    }

    const int m_fd;
    std::string m_buffer;
};

inline std::string responseText(int status, const std::vector<std::pair<std::string, std::string>> &headers,
                                const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[key, value] : headers) {
        text += key + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Answer {
    ReadEnd end = ReadEnd::Timeout;
    Message message;
    bool isConnected = false;
};

// One exchange on a connection of its own.
inline Answer exchange(const std::string &ip, int port, const std::string &text, double seconds)
{
    Answer answer;
    const int fd = connectTo(ip, port);
    if (fd < 0) {
        return answer;
    }
    answer.isConnected = true;
    if (writeAll(fd, text)) {
        answer.end = Reader(fd).read(answer.message, now() + seconds, true);
    }
    close(fd);
    return answer;
}

inline std::string requestText(const std::string &method, const std::string &target,
                               const std::vector<std::pair<std::string, std::string>> &headers, const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[key, value] : headers) {
        text += key + ": " + value + "\r\n";
    }
    if (!body.empty() || method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

// A process that the case started, and ends.
class Process
{
public:
    Process(std::vector<std::string> command, std::string log, std::vector<std::string> environment = {})
        : m_command(std::move(command))
        , m_log(std::move(log))
        , m_environment(std::move(environment))
    {
        start();
    }

    ~Process()
    {
        end();
    }

    void start()
    {
        m_pid = fork();
        if (m_pid == 0) {
            // It ends with the thread that started it, also where that is killed.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            for (std::string &it : m_environment) {
                putenv(it.data());
            }
            std::vector<char *> words;
            for (std::string &it : m_command) {
                words.push_back(it.data());
            }
            words.push_back(nullptr);
            execv(words[0], words.data());
            _exit(127);
        }
    }

    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }

    void end()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGCONT);
            ::kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }

    // Whether it has ended by itself.
    bool hasEnded()
    {
        return m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid && (m_pid = -1) == -1;
    }

    pid_t pid() const
    {
        return m_pid;
    }

    void setCommand(std::vector<std::string> command)
    {
        m_command = std::move(command);
    }

private:
    std::vector<std::string> m_command;
    std::string m_log;
    std::vector<std::string> m_environment;
    pid_t m_pid = -1;
};

// A server with a thread for each connection. The handler returns whether the connection stays open.
class Server
{
public:
    using Handler = std::function<bool(int fd, const Message &request)>;

    Server(std::string ip, Handler handler)
        : m_ip(std::move(ip))
        , m_handler(std::move(handler))
    {
        open();
    }

    ~Server()
    {
        shut(true);
        while (m_threads > 0) {
            sleepFor(0.01);
        }
    }

    std::string address() const
    {
        return m_ip + ":" + std::to_string(m_port);
    }

    int port() const
    {
        return m_port;
    }

    // Listens at the same address as before, if there was one.
    void open()
    {
        const int before = m_port;
        for (int n = 0; n < 100; ++n) {
            m_listener = listenOn(m_ip, before, &m_port);
            if (m_listener >= 0) {
                break;
            }
            sleepFor(0.01);
        }
        m_isOpen = true;
        ++m_threads;
        std::thread([this, listener = m_listener.load()] {
            accept(listener);
            --m_threads;
        }).detach();
    }

    // Ends the listener and all connections as the end of its process would, by resets or in order.
    void shut(bool withReset)
    {
        m_isOpen = false;
        const int listener = m_listener.exchange(-1);
        if (listener >= 0) {
            ::shutdown(listener, SHUT_RDWR);
        }
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_connections) {
            if (withReset) {
                const linger hard{1, 0};
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
                m_toReset.insert(fd);
            }
            ::shutdown(fd, withReset ? SHUT_RD : SHUT_RDWR);
        }
    }

    // New connections are reset, open ones go on.
    void closeListener()
    {
        const int listener = m_listener.exchange(-1);
        if (listener >= 0) {
            ::shutdown(listener, SHUT_RDWR);
        }
    }

    bool isOpen() const
    {
        return m_isOpen;
    }

    std::size_t connections()
    {
        const std::lock_guard lock(m_mutex);
        return m_connections.size();
    }

private:
    void accept(int listener)
    {
        while (true) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                close(listener);
                return;
            }
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            {
                const std::lock_guard lock(m_mutex);
                m_connections.insert(fd);
            }
            ++m_threads;
            std::thread([this, fd] {
                serve(fd);
                --m_threads;
            }).detach();
        }
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.read(request, now() + 3600, false) == ReadEnd::Whole && m_handler(fd, request)) { }
        const std::lock_guard lock(m_mutex);
        m_connections.erase(fd);
        m_toReset.erase(fd);
        close(fd);
    }

    const std::string m_ip;
    const Handler m_handler;
    std::atomic<int> m_listener{-1};
    std::atomic<int> m_threads{0};
    std::atomic<bool> m_isOpen{false};
    int m_port = 0;
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::set<int> m_toReset;
};

// The platform and the processes of the project on one set of loopback addresses.
class Fleet
{
public:
    explicit Fleet(const std::string &folder)
        : m_folder(folder)
    {
        const char *root = std::getenv("REVIEW_ROOT");
        m_programs = std::string(root ? root : ".") + "/target/bin/";
        const char *logs = std::getenv("REVIEW_LOGS");
        m_logs = logs ? logs : "/tmp";
        const int n = getpid();
        m_net = "127." + std::to_string(64 + n / 250 % 120) + "." + std::to_string(1 + n % 250) + ".";
        m_storeIp = m_net + "1";
        m_storePort = freePort(m_storeIp);
        m_peerPort = freePort(m_net + "2");
        m_store = std::make_unique<Process>(
            std::vector<std::string>{m_programs + "standin-store", "--listen", storeAddress()}, m_logs + "/store.log");
        const double end = now() + 10;
        while (now() < end && get("config").message.status() != 200) {
            sleepFor(0.02);
        }
    }

    std::string ip(int host) const
    {
        return m_net + std::to_string(host);
    }

    std::string storeAddress() const
    {
        return m_storeIp + ":" + std::to_string(m_storePort);
    }

    Answer get(const std::string &path) const
    {
        return exchange(m_storeIp, m_storePort, requestText("GET", "/api/objects/" + path, {{"Host", "store"}}, ""), 3);
    }

    void put(const std::string &kind, const std::string &name, const Json &spec) const
    {
        const std::string body = Json{{"metadata", {{"name", name}}}, {"spec", spec}}.dump();
        const std::string path = "/api/objects/" + kind;
        const auto call = [&](const std::string &method, const std::string &target) {
            return exchange(
                       m_storeIp, m_storePort,
                       requestText(method, target, {{"Host", "store"}, {"Content-Type", "application/json"}}, body), 3)
                .message.status();
        };
        if (call("PUT", path + "/" + name) / 100 != 2) {
            call("POST", path);
        }
    }

    void remove(const std::string &kind, const std::string &name) const
    {
        exchange(m_storeIp, m_storePort,
                 requestText("DELETE", "/api/objects/" + kind + "/" + name, {{"Host", "store"}}, ""), 3);
    }

    // The command of the role in the deploy file, with the settings of a small deployment.
    std::vector<std::string> gatewayCommand(int n, bool isFirst, const std::string &store) const
    {
        const std::string ip = gatewayIp(n);
        return {m_programs + "radishswitch-gateway",
                "--instance",
                "edge-hall-a-" + std::to_string(n + 1),
                "--region",
                "south-central",
                "--zone",
                "hall-a",
                "--weight",
                "0.19",
                "--listen",
                ip + ":" + std::to_string(m_peerPort + 1),
                "--peer-listen",
                ip + ":" + std::to_string(m_peerPort),
                "--admin-listen",
                ip + ":" + std::to_string(m_peerPort + 2),
                "--metrics-listen",
                ip + ":9464",
                "--platform",
                store.empty() ? storeAddress() : store,
                std::string("--first-start=") + (isFirst ? "true" : "false"),
                "--retry-bound",
                "0.2",
                "--change-bound",
                "2000ms",
                "--cordon-bound",
                "0ms",
                "--cold-overshoot",
                "1",
                "--drain-timeout",
                "8s",
                "--load-news",
                "--misplaced-prompt-seconds",
                "0",
                "--rotation-by-load",
                "--link-mbps",
                "1000.0"};
    }

    std::vector<std::string> homeCommand(int n, bool isFirst, const std::string &endpoint,
                                         const std::string &store) const
    {
        const std::string ip = homeIp(n);
        std::vector<std::string> command{m_programs + "radishswitch-home",
                                         "--instance",
                                         "side-hall-a-" + std::to_string(n + 1),
                                         "--region",
                                         "south-central",
                                         "--zone",
                                         "hall-a",
                                         "--weight",
                                         "0.2",
                                         "--homes-of-zone",
                                         "16",
                                         "--peer-listen",
                                         ip + ":" + std::to_string(m_peerPort),
                                         "--admin-listen",
                                         ip + ":9465",
                                         "--platform",
                                         store.empty() ? storeAddress() : store,
                                         std::string("--first-start=") + (isFirst ? "true" : "false"),
                                         "--drain-timeout",
                                         "8s"};
        if (!endpoint.empty()) {
            command.insert(command.begin() + 11, "--endpoint=" + endpoint);
        }
        return command;
    }

    Process &startGateway(int n, bool isFirst = true, const std::string &store = {})
    {
        m_gateways[n] = std::make_unique<Process>(
            gatewayCommand(n, isFirst, store), m_logs + "/gateway-" + std::to_string(n) + ".log",
            std::vector<std::string>{"RADISHSWITCH_ZONE_REGIONS=hall-a=south-central"});
        // Later starts are no first ones.
        m_gateways[n]->setCommand(gatewayCommand(n, false, store));
        return *m_gateways[n];
    }

    Process &startHome(int n, const std::string &endpoint = {}, bool isFirst = true, const std::string &store = {})
    {
        m_homes[n] = std::make_unique<Process>(homeCommand(n, isFirst, endpoint, store),
                                               m_logs + "/home-" + std::to_string(n) + ".log");
        m_homes[n]->setCommand(homeCommand(n, false, endpoint, store));
        return *m_homes[n];
    }

    Process &gateway(int n)
    {
        return *m_gateways.at(n);
    }

    Process &home(int n)
    {
        return *m_homes.at(n);
    }

    std::string gatewayIp(int n) const
    {
        return ip(10 + n);
    }

    std::string homeIp(int n) const
    {
        return ip(40 + n);
    }

    std::string replicaIp(int n) const
    {
        return ip(100 + n);
    }

    int gatewayPort() const
    {
        return m_peerPort + 1;
    }

    bool isReady(int n) const
    {
        return exchange(gatewayIp(n), m_peerPort + 2, requestText("GET", "/readyz", {{"Host", "gateway"}}, ""), 1)
                   .message.status()
            == 200;
    }

    bool waitReady(int n, double seconds = 15) const
    {
        const double end = now() + seconds;
        while (now() < end) {
            if (isReady(n)) {
                return true;
            }
            sleepFor(0.05);
        }
        return false;
    }

private:
    const std::string m_folder;
    std::string m_programs;
    std::string m_logs;
    std::string m_net;
    std::string m_storeIp;
    int m_storePort = 0;
    int m_peerPort = 0;
    std::unique_ptr<Process> m_store;
    std::map<int, std::unique_ptr<Process>> m_gateways;
    std::map<int, std::unique_ptr<Process>> m_homes;
};

inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

// A replica's entry in the store.
inline Json entry(const std::string &service, const std::string &address, int slots, const std::string &state,
                  std::int64_t born, int sequence, const std::string &version = "v1")
{
    Json json;
    json["service"] = service;
    json["address"] = address;
    json["zone"] = "hall-a";
    json["version"] = version;
    json["slots"] = slots;
    json["state"] = state;
    json["cold-remaining-ms"] = 0;
    json["sequence"] = sequence;
    json["born"] = born;
    return json;
}

inline Json route(const std::string &prefix, const std::string &kind, const std::string &service, int timeout,
                  int target, int attempts, bool isResumable = false)
{
    Json json{{"name", "r" + prefix}, {"host", "ficu95.example"}, {"path-prefix", prefix},
              {"kind", kind},         {"timeout-ms", timeout},    {"target-latency-ms", target},
              {"priority", 0},        {"service", service},       {"max-attempts", attempts},
              {"public", false}};
    if (kind == "streaming") {
        json["sticky"] = true;
        json["resumable"] = isResumable;
        json["target-gap-ms"] = 200;
    }
    return json;
}

inline Json tenant(const std::string &name, const std::string &key, std::int64_t reserved = 0)
{
    Json json;
    json["name"] = name;
    json["api-keys"] = Json::array({key});
    json["priority"] = 1;
    if (reserved > 0) {
        json["reserved"] = reserved;
    }
    return json;
}

// What an engine says of itself.
inline Json engineReport(std::int64_t born, int active = 0)
{
    Json json;
    json["phase"] = "combined";
    json["models"] = Json::array({Json{{"name", "m"}, {"version", 1}, {"adapters", Json::array()}}});
    json["busy"] = false;
    json["sequence"] = 2;
    json["queued"] = 0;
    json["active"] = active;
    json["kv-used"] = 41000;
    json["kv-total"] = 722345;
    json["kv-handles"] = 0;
    json["state"] = "ready";
    json["born"] = born;
    json["runs"] = Json::array();
    return json;
}

inline Json configuration(int version, const Json &routes, const Json &tenants)
{
    Json llm{
        {"name", "llm"}, {"health-path", "/healthz"}, {"max-connections", 360}, {"protocol", "h1"}, {"tls", false}};
    llm["inference-engine"] = Json{{"slots", 64}, {"kv-capacity", 722345}, {"kv-bytes", 327680}, {"stride", 7},
                                   {"most", 12},  {"handle-ttl-s", 5.0}};
    llm["inference-engine"]["models"] = Json::array({Json{{"name", "m"}}});
    const Json shop{
        {"name", "shop"}, {"health-path", "/healthz"}, {"max-connections", 100}, {"protocol", "h1"}, {"tls", false}};
    Json json;
    json["version"] = version;
    json["routes"] = routes;
    json["services"] = Json::array({llm, shop});
    json["limits"] = Json{{"max-header-bytes", 16384},
                          {"max-body-bytes", 4194304},
                          {"header-timeout-ms", 3000},
                          {"idle-timeout-ms", 15000}};
    json["tenants"] = tenants;
    return json;
}

}
