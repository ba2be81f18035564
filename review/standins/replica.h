#pragma once

// Stand-in for a replica, as PROTOCOL.md and the news pages describe it. One object is one start of a replica.

#include "record.h"
#include "store.h"

#include <set>

namespace review
{

struct ReplicaSettings {
    std::string id;
    std::string service;
    Address address;
    std::string zone = "zone-a";
    std::string version = "v1";
    int slots = 64;
    /// How long a plain request works before it is answered.
    int workMs = 50;
    int eventPauseMs = 50;
    int heartbeatMs = 1200;
};

class Replica
{
public:
    Replica(ReplicaSettings settings, Store &store, Record &record)
        : m_settings(std::move(settings))
        , m_store(store)
        , m_record(record)
        , m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , m_listener(listenAt(m_settings.address))
    {
        m_threads.emplace_back([this] {
            accept();
        });
        m_threads.emplace_back([this] {
            beat();
        });
        m_record.line(m_settings.id, "start version=" + m_settings.version + " address=" + m_settings.address.text());
    }

    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    ~Replica()
    {
        crash();
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        while (m_connections > 0) {
            pause(5);
        }
    }

    const ReplicaSettings &settings() const
    {
        return m_settings;
    }

    /// Ends the replica as a crash does: its port and its connections are closed, its entry stays as it is.
    void crash()
    {
        if (m_isDown.exchange(true)) {
            return;
        }
        m_record.line(m_settings.id, "crash");
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_open) {
            const linger reset{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            ::shutdown(fd, SHUT_RDWR);
        }
    }

private:
    void accept()
    {
        while (!m_isDown) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            ++m_connections;
            std::thread([this, fd] {
                serve(fd);
                {
                    const std::lock_guard lock(m_mutex);
                    m_open.erase(fd);
                }
                ::close(fd);
                --m_connections;
            }).detach();
        }
    }

    // The entry changes only when more than its sequence does, so that a heartbeat writes the same again.
    void beat()
    {
        bool isRegistered = false;
        while (!m_isDown) {
            const nlohmann::json entry{{"service", m_settings.service},
                                       {"address", m_settings.address.text()},
                                       {"zone", m_settings.zone},
                                       {"version", m_settings.version},
                                       {"slots", m_settings.slots},
                                       {"state", "ready"},
                                       {"cold-remaining-ms", 0},
                                       {"sequence", 1},
                                       {"born", m_born}};
            const bool isWritten = m_store.write("servers", m_settings.id, entry.dump()) != 0;
            if (isWritten && !std::exchange(isRegistered, true)) {
                m_record.line(m_settings.id, "registered version=" + m_settings.version);
            }
            for (int waited = 0; waited < m_settings.heartbeatMs && !m_isDown; waited += 20) {
                pause(20);
            }
        }
    }

    void serve(int fd)
    {
        Reader reader(fd);
        while (!m_isDown) {
            Message request;
            if (!reader.readHead(request, 30000) || !reader.readBody(request, 5000)) {
                return;
            }
            if (!answer(fd, request)) {
                return;
            }
        }
    }

    std::string answerHeaders(const std::string &attempt) const
    {
        return "Attempt-Id: " + attempt + "\r\nServer-Signature: " + m_settings.id + "." + attempt + "\r\n";
    }

    bool answer(int fd, const Message &request)
    {
        const std::string target = request.secondWord();
        if (target == "/api/report") {
            return sendAll(fd, responseText(200, "Content-Type: application/json\r\n", report()));
        }
        if (target == "/healthz") {
            return sendAll(fd, responseText(200, "Instance-Id: " + m_settings.id + "\r\n", "{}"));
        }
        const std::string attempt = request.header("Attempt-Id");
        const std::string expected = request.header("Expect-Instance");
        if (!expected.empty() && expected != m_settings.id) {
            m_record.line(m_settings.id, "answers-421 " + attempt);
            return sendAll(fd, responseText(421, "Attempt-Id: " + attempt + "\r\nNot-Executed: 1\r\n", ""));
        }
        ++m_active;
        m_record.line(m_settings.id, "run " + attempt + " after=" + request.header("Last-Event-Id"));
        const bool isSent = request.has("Token-Usage") ? stream(fd, request) : plain(fd, attempt);
        --m_active;
        m_record.line(m_settings.id, (isSent ? "answered " : "broken-off ") + attempt);
        return isSent;
    }

    bool plain(int fd, const std::string &attempt)
    {
        pause(m_settings.workMs);
        return !m_isDown && sendAll(fd, responseText(200, answerHeaders(attempt), "answer to " + attempt));
    }

    static std::string chunk(const std::string &data)
    {
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", data.size());
        return size + data + "\r\n";
    }

    /// As many events as the request allows output tokens; each tells the version that wrote it.
    bool stream(int fd, const Message &request)
    {
        const std::string attempt = request.header("Attempt-Id");
        const std::string usage = request.header("Token-Usage");
        const int events = std::atoi(usage.substr(usage.find(',') + 1).c_str());
        const int last = std::atoi(request.header("Last-Event-Id").c_str());
        bool isSent = sendAll(fd,
                              "HTTP/1.1 200 -\r\n" + answerHeaders(attempt)
                                  + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int id = last + 1; id <= events && isSent; ++id) {
            pause(m_settings.eventPauseMs);
            isSent = !m_isDown
                && sendAll(fd,
                           chunk("id: " + std::to_string(id) + "\ndata: " + m_settings.version + " " + m_settings.id
                                 + "\n\n"));
        }
        return isSent && sendAll(fd, "0\r\n\r\n");
    }

    std::string report() const
    {
        return nlohmann::json{{"born", m_born},
                              {"phase", "combined"},
                              {"models", nlohmann::json::array()},
                              {"busy", false},
                              {"sequence", 0},
                              {"queued", 0},
                              {"active", m_active.load()},
                              {"kv-used", 0},
                              {"kv-total", 700000},
                              {"kv-handles", 0},
                              {"state", "ready"},
                              {"runs", nlohmann::json::array()}}
            .dump();
    }

    const ReplicaSettings m_settings;
    Store &m_store;
    Record &m_record;
    const std::int64_t m_born;
    const int m_listener;
    std::atomic<bool> m_isDown = false;
    std::atomic<int> m_active = 0;
    std::atomic<int> m_connections = 0;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::vector<std::thread> m_threads;
};

}
