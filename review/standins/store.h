#pragma once

// Stand-in for the platform's store, as PROTOCOL.md describes it: objects by kind and name, revisions, conditions,
// lists and watches. Specs are kept as the bytes that their writer sent.

#include "http.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>

namespace review
{

class Store
{
public:
    explicit Store(Address address)
        : m_address(std::move(address))
        , m_listener(listenAt(m_address))
    {
        std::thread([this] {
            accept();
        }).detach();
    }

    bool isListening() const
    {
        return m_listener >= 0;
    }

    const Address &address() const
    {
        return m_address;
    }

    /// Creates or replaces an object with these bytes as its spec, as a client without a condition does. Returns the
    /// revision, 0 while the store is down.
    std::uint64_t write(const std::string &kind, const std::string &name, const std::string &spec)
    {
        if (m_isDown) {
            return 0;
        }
        const std::lock_guard lock(m_mutex);
        return put(kind, name, spec);
    }

    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        erase(kind, name);
    }

    /// Down, the store takes calls and answers none, waiting watches included.
    void setDown(bool isDown)
    {
        m_isDown = isDown;
    }

private:
    struct Object {
        std::string spec;
        std::string status = "{}";
        std::uint64_t revision = 0;
    };

    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };

    struct Answer {
        int status = 200;
        std::string body;
    };

    static std::string textOf(const std::string &name, const Object &object)
    {
        return R"({"metadata":{"name":)" + nlohmann::json(name).dump() + R"(,"revision":)"
            + std::to_string(object.revision) + R"(,"created":1,"finalizers":[],"deletion-pending":false},"spec":)"
            + object.spec + R"(,"status":)" + object.status + "}";
    }

    std::uint64_t put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        Object &object = m_objects[kind][name];
        if (object.revision != 0 && object.spec == spec) {
            return object.revision;
        }
        object.spec = spec;
        object.revision = ++m_revision;
        addEvent(kind, textOf(name, object), false);
        return object.revision;
    }

    void erase(const std::string &kind, const std::string &name)
    {
        const auto it = m_objects[kind].find(name);
        if (it == m_objects[kind].end()) {
            return;
        }
        it->second.revision = ++m_revision;
        addEvent(kind, textOf(name, it->second), true);
        m_objects[kind].erase(it);
    }

    void addEvent(const std::string &kind, const std::string &object, bool isDeleted)
    {
        m_events.push_back(
            {m_revision, kind, R"({"object":)" + object + R"(,"deleted":)" + (isDeleted ? "true" : "false") + "}"});
        m_changed.notify_all();
    }

    void accept()
    {
        while (true) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) {
                std::thread([this, fd] {
                    serve(fd);
                    ::close(fd);
                }).detach();
            }
        }
    }

    void serve(int fd)
    {
        Reader reader(fd);
        while (true) {
            Message request;
            if (!reader.readHead(request, 60000) || !reader.readBody(request, 5000)) {
                return;
            }
            if (m_isDown) {
                return stayOutage();
            }
            const Answer answer = handle(request);
            if (m_isDown) {
                return stayOutage();
            }
            if (!sendAll(fd, responseText(answer.status, "Content-Type: application/json\r\n", answer.body))) {
                return;
            }
        }
    }

    void stayOutage() const
    {
        while (m_isDown) {
            pause(20);
        }
    }

    static std::string decoded(const std::string &text)
    {
        std::string out;
        for (std::size_t n = 0; n < text.size(); ++n) {
            if (text[n] == '%' && n + 2 < text.size()) {
                out += static_cast<char>(std::strtol(text.substr(n + 1, 2).c_str(), nullptr, 16));
                n += 2;
            } else {
                out += text[n];
            }
        }
        return out;
    }

    static std::optional<std::string> queryValue(const std::string &query, const std::string &name)
    {
        std::size_t begin = 0;
        while (begin < query.size()) {
            const std::size_t end = std::min(query.find('&', begin), query.size());
            const std::string item = query.substr(begin, end - begin);
            if (item.starts_with(name + "=")) {
                return decoded(item.substr(name.size() + 1));
            }
            begin = end + 1;
        }
        return std::nullopt;
    }

    Answer handle(const Message &request)
    {
        const std::string target = request.secondWord();
        const std::size_t mark = target.find('?');
        const std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
        std::string path = target.substr(0, mark);
        const std::string prefix = "/api/objects/";
        if (!path.starts_with(prefix)) {
            return {404, "{}"};
        }
        path.erase(0, prefix.size());
        const std::size_t slash = path.find('/');
        const std::string kind = decoded(path.substr(0, slash));
        std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        const std::string statusSuffix = "/status";
        const bool isStatus = name.ends_with(statusSuffix);
        name = decoded(isStatus ? name.substr(0, name.size() - statusSuffix.size()) : name);
        if (request.method() == "GET") {
            if (const auto watched = queryValue(query, "watch")) {
                return watch(kind, std::stoull(*watched), std::stoi(queryValue(query, "wait-ms").value_or("0")));
            }
            return name.empty() ? list(kind, queryValue(query, "after").value_or("")) : get(kind, name);
        }
        if (request.method() == "DELETE") {
            return remove(kind, name, queryValue(query, "revision"));
        }
        const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            return {400, "{}"};
        }
        const nlohmann::json metadata = body.value("metadata", nlohmann::json::object());
        std::optional<std::uint64_t> revision;
        if (metadata.contains("revision")) {
            revision = metadata["revision"].get<std::uint64_t>();
        } else if (const auto text = queryValue(query, "revision")) {
            revision = std::stoull(*text);
        }
        if (request.method() == "POST") {
            return create(kind, metadata.value("name", ""), body);
        }
        return replace(kind, name, body, revision, isStatus);
    }

    Answer create(const std::string &kind, const std::string &name, const nlohmann::json &body)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_objects[kind].find(name);
        if (it != m_objects[kind].end()) {
            return {409, textOf(name, it->second)};
        }
        put(kind, name, body.value("spec", nlohmann::json::object()).dump());
        return {200, textOf(name, m_objects[kind][name])};
    }

    Answer replace(const std::string &kind, const std::string &name, const nlohmann::json &body,
                   std::optional<std::uint64_t> revision, bool isStatus)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_objects[kind].find(name);
        if (it == m_objects[kind].end()) {
            return {404, "{}"};
        }
        if (revision && *revision != it->second.revision) {
            return {409, textOf(name, it->second)};
        }
        if (isStatus) {
            it->second.status = body.value("status", nlohmann::json::object()).dump();
            it->second.revision = ++m_revision;
            addEvent(kind, textOf(name, it->second), false);
        } else {
            put(kind, name, body.value("spec", nlohmann::json::object()).dump());
        }
        return {200, textOf(name, it->second)};
    }

    Answer remove(const std::string &kind, const std::string &name, const std::optional<std::string> &revision)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_objects[kind].find(name);
        if (it == m_objects[kind].end()) {
            return {404, "{}"};
        }
        if (revision && std::stoull(*revision) != it->second.revision) {
            return {409, textOf(name, it->second)};
        }
        erase(kind, name);
        return {200, "{}"};
    }

    Answer get(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_objects[kind].find(name);
        return it == m_objects[kind].end() ? Answer{404, "{}"} : Answer{200, textOf(name, it->second)};
    }

    Answer list(const std::string &kind, const std::string &after)
    {
        constexpr int kPage = 500;
        const std::lock_guard lock(m_mutex);
        std::string entries;
        int n = 0;
        bool hasMore = false;
        for (const auto &[name, object] : m_objects[kind]) {
            if (name <= after) {
                continue;
            }
            if (n == kPage) {
                hasMore = true;
                break;
            }
            entries += (n++ == 0 ? "" : ",") + textOf(name, object);
        }
        return {200,
                R"({"entries":[)" + entries + R"(],"has-more":)" + (hasMore ? "true" : "false") + R"(,"at":)"
                    + std::to_string(m_revision) + "}"};
    }

    Answer watch(const std::string &kind, std::uint64_t from, int waitMs)
    {
        const auto end = Clock::now() + milliseconds(std::min(waitMs, 30000));
        std::unique_lock lock(m_mutex);
        while (true) {
            std::string events;
            for (const Event &it : m_events) {
                if (it.revision > from && it.kind == kind) {
                    events += (events.empty() ? "" : ",") + it.text;
                }
            }
            if (!events.empty() || Clock::now() >= end || m_isDown) {
                return {200, R"({"events":[)" + events + R"(],"at":)" + std::to_string(m_revision) + "}"};
            }
            m_changed.wait_until(lock, end);
        }
    }

    const Address m_address;
    const int m_listener;
    std::atomic<bool> m_isDown = false;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 0;
};

}
