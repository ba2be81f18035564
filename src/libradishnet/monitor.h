#pragma once

#include "agents/agentport.h"
#include "base/objectstore.h"
#include "base/taskqueue.h"
#include "base/timerservice.h"

#include <mutex>
#include <utility>

namespace RadishSwitch
{

/// The lock of one shared table.
///
/// The decisions are single-threaded; a program with many workers gives each table a monitor and lets nothing in but
/// through it. What a table is given to call (tasks, timers, store, agents) is wrapped by the classes below, so that
/// every answer comes back in under the same lock. Without them a store's answer would change a table in the middle of
/// another worker's decision, and two requests could be granted the same tokens.
///
/// Order of locks: home, list of instances, links, membership, routing. A worker that holds one may take a later one,
/// never an earlier one.
class Monitor
{
public:
    template<typename Work>
    auto run(Work &&work)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return std::forward<Work>(work)();
    }

    /// The same callback, called under the lock.
    template<typename Result>
    std::function<void(Result)> guarded(std::function<void(Result)> callback)
    {
        return [this, callback = std::move(callback)](Result result) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            callback(std::move(result));
        };
    }

    std::function<void()> guarded(std::function<void()> callback)
    {
        return [this, callback = std::move(callback)] {
            const std::lock_guard<std::mutex> lock(m_mutex);
            callback();
        };
    }

private:
    std::mutex m_mutex;
};

/// A task queue whose tasks run under a table's lock.
class MonitoredTaskQueue : public TaskQueue
{
public:
    MonitoredTaskQueue(TaskQueue &inner, Monitor &monitor)
        : m_inner(inner)
        , m_monitor(monitor)
    {
    }

    void post(std::function<void()> task) override
    {
        m_inner.post(m_monitor.guarded(std::move(task)));
    }

private:
    TaskQueue &m_inner;
    Monitor &m_monitor;
};

/// A timer service whose timers fire under a table's lock.
class MonitoredTimerService : public TimerService
{
public:
    MonitoredTimerService(TimerService &inner, Monitor &monitor)
        : m_inner(inner)
        , m_monitor(monitor)
    {
    }

    Instant now() const override
    {
        return m_inner.now();
    }

    std::int64_t wallClockMilliseconds() const override
    {
        return m_inner.wallClockMilliseconds();
    }

    TimerId after(Duration delay, std::function<void()> callback) override
    {
        return m_inner.after(delay, m_monitor.guarded(std::move(callback)));
    }

    TimerId every(Duration interval, std::function<void()> callback) override
    {
        return m_inner.every(interval, m_monitor.guarded(std::move(callback)));
    }

    void cancel(TimerId id) override
    {
        m_inner.cancel(id);
    }

private:
    TimerService &m_inner;
    Monitor &m_monitor;
};

/// An object store whose answers come under a table's lock.
class MonitoredObjectStore : public ObjectStore
{
public:
    MonitoredObjectStore(ObjectStore &inner, Monitor &monitor)
        : m_inner(inner)
        , m_monitor(monitor)
    {
    }

    void get(const std::string &key, Callback<StoredObject> callback) override
    {
        m_inner.get(key, m_monitor.guarded(std::move(callback)));
    }

    void put(const std::string &key, std::string value, std::uint64_t expectedVersion,
             Callback<std::uint64_t> callback) override
    {
        m_inner.put(key, std::move(value), expectedVersion, m_monitor.guarded(std::move(callback)));
    }

    void remove(const std::string &key, std::uint64_t expectedVersion,
                std::function<void(absl::Status)> callback) override
    {
        m_inner.remove(key, expectedVersion, m_monitor.guarded(std::move(callback)));
    }

    void list(const std::string &prefix, Callback<StoreChanges> callback) override
    {
        m_inner.list(prefix, m_monitor.guarded(std::move(callback)));
    }

    void watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback) override
    {
        m_inner.watch(prefix, fromVersion, m_monitor.guarded(std::move(callback)));
    }

private:
    ObjectStore &m_inner;
    Monitor &m_monitor;
};

/// Agents whose answers come under a table's lock.
class MonitoredAgentPort : public AgentPort
{
public:
    MonitoredAgentPort(AgentPort &inner, Monitor &monitor)
        : m_inner(inner)
        , m_monitor(monitor)
    {
    }

    std::vector<std::string> agentAddresses() const override
    {
        return m_inner.agentAddresses();
    }

    bool isGone(const std::string &agentAddress) const override
    {
        return m_inner.isGone(agentAddress);
    }

    void findRuns(const std::string &agentAddress, std::vector<RequestId> requests, std::uint32_t shard,
                  std::uint64_t epoch, std::function<void(absl::StatusOr<std::vector<RunRecord>>)> callback) override
    {
        m_inner.findRuns(agentAddress, std::move(requests), shard, epoch, m_monitor.guarded(std::move(callback)));
    }

    void closePortions(const std::string &agentAddress, std::vector<PortionId> portions,
                       std::function<void(absl::StatusOr<std::vector<PortionCharges>>)> callback) override
    {
        m_inner.closePortions(agentAddress, std::move(portions), m_monitor.guarded(std::move(callback)));
    }

    void bar(const std::string &agentAddress, const RequestId &request, const AttemptId &attempt, RunStop stop,
             std::function<void(absl::StatusOr<RunRecord>)> callback) override
    {
        m_inner.bar(agentAddress, request, attempt, stop, m_monitor.guarded(std::move(callback)));
    }

private:
    AgentPort &m_inner;
    Monitor &m_monitor;
};

}
