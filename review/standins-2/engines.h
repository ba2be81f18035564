#pragma once

// Engines in the process of a case: streams of numbered events, and crashes under a part of a prompt.

#include "world.h"

namespace review
{

// How an engine writes its streams, and with which software.
struct EngineKind {
    std::string version = "v1";
    int events = 10;
    double eventPause = 0.02;
};

struct PromptRequest {
    std::string id;
    std::string target;
    std::string organisation;
    std::vector<std::string> parts;
    int lastEvent = 0;
};

inline std::vector<std::string> partsOf(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream items(text);
    std::string item;
    while (std::getline(items, item, ',')) {
        parts.push_back(item.substr(0, item.find(':')));
    }
    return parts;
}

class Engine
{
public:
    // Called for each request that reaches the engine; returns whether the engine crashes as it begins to answer.
    using Arrival = std::function<bool(Engine &engine, const PromptRequest &request)>;

    // A plain service answers whole.
    Engine(const Fleet &fleet, int n, double downSeconds, Arrival onArrival, const std::string &service = "llm",
           EngineKind kind = EngineKind())
        : m_fleet(fleet)
        , m_n(n)
        , m_service(service)
        , m_kind(std::move(kind))
        , m_id("i-" + std::to_string(n) + "f3a91c2")
        , m_downSeconds(downSeconds)
        , m_onArrival(std::move(onArrival))
        , m_born(wallMilliseconds())
    {
        m_server = std::make_unique<Server>(fleet.replicaIp(n), [this](int fd, const Message &request) {
            return answer(fd, request);
        });
        m_thread = std::thread([this] {
            live();
        });
    }

    ~Engine()
    {
        m_isRunning = false;
        m_thread.join();
    }

    std::string address() const
    {
        return m_server->address();
    }

    std::int64_t born() const
    {
        return m_born;
    }

    int number() const
    {
        return m_n;
    }

private:
    bool answer(int fd, const Message &request)
    {
        const std::string id = request.header("Attempt-Id");
        if (request.target() == "/api/report") {
            return writeAll(
                fd, responseText(200, {{"Content-Type", "application/json"}}, engineReport(m_born, m_active).dump()));
        }
        if (request.target() == "/healthz") {
            return writeAll(fd, responseText(200, {{"Instance-Id", m_id}}, ""));
        }
        if (request.header("Expect-Instance") != m_id) {
            return writeAll(fd, responseText(421, {{"Attempt-Id", id}, {"Not-Executed", "1"}}, ""));
        }
        ++m_active;
        const bool isOpen = run(fd,
                                {id, request.target(), request.header("Tenant"), partsOf(request.header("Prefix-Hash")),
                                 std::atoi(request.header("Last-Event-Id").c_str())});
        --m_active;
        return isOpen;
    }

    bool run(int fd, const PromptRequest &request)
    {
        const int life = m_life;
        if (m_onArrival(*this, request)) {
            sleepFor(0.02);
            m_crashingLife = life;
            // The connections end with the process.
            while (m_life == life) {
                sleepFor(0.002);
            }
            return false;
        }
        sleepFor(m_service == "llm" ? 0.03 : 0.06);
        if (m_service != "llm") {
            return m_server->isOpen()
                && writeAll(fd,
                            responseText(200, {{"Attempt-Id", request.id}, {"Server-Signature", "s.1"}},
                                         std::string(800, 'x')));
        }
        bool isOpen = writeAll(fd,
                               "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.id
                                   + "\r\nServer-Signature: s.1\r\nContent-Type: text/event-stream\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n");
        for (int n = request.lastEvent + 1; n <= m_kind.events && isOpen && m_server->isOpen(); ++n) {
            const std::string event = "id: " + std::to_string(n) + "\ndata: " + m_kind.version + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            isOpen = writeAll(fd, size + event + "\r\n");
            sleepFor(m_kind.eventPause);
        }
        return isOpen && writeAll(fd, "0\r\n\r\n");
    }

    void list()
    {
        m_lastBeat = now();
        m_fleet.put(
            "servers", m_id,
            entry(m_service, address(), m_service == "llm" ? 64 : 6, "ready", m_born, m_sequence, m_kind.version));
    }

    void live()
    {
        while (m_isRunning) {
            if (m_crashingLife == m_life) {
                m_server->shut(true);
                ++m_life;
                sleepFor(m_downSeconds);
                m_born = wallMilliseconds();
                m_server->open();
                list();
            }
            if (now() - m_lastBeat >= 1.2) {
                list();
            }
            sleepFor(0.005);
        }
    }

    const Fleet &m_fleet;
    const int m_n;
    const std::string m_service;
    const EngineKind m_kind;
    const std::string m_id;
    const double m_downSeconds;
    const Arrival m_onArrival;
    std::atomic<std::int64_t> m_born;
    std::atomic<int> m_active{0};
    std::atomic<int> m_life{0};
    std::atomic<int> m_crashingLife{-1};
    std::atomic<bool> m_isRunning{true};
    // Heartbeats write the same entry: it changes when more than the sequence does.
    const int m_sequence = 1;
    double m_lastBeat = -100;
    std::unique_ptr<Server> m_server;
    std::thread m_thread;
};

}
