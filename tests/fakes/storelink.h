#pragma once

#include "base/failure.h"
#include "base/objectstore.h"
#include "base/taskqueue.h"
#include "base/timerservice.h"

#include <utility>

/// One process's way to a shared store: it can be cut, be slow, or lose the answers of writes that took effect.
class StoreLink : public RadishSwitch::ObjectStore
{
public:
    StoreLink(RadishSwitch::ObjectStore &store, RadishSwitch::TaskQueue &tasks, RadishSwitch::TimerService &timers)
        : m_store(store)
        , m_tasks(tasks)
        , m_timers(timers)
    {
    }

    /// While cut, every call fails with StoreUnavailable and has no effect.
    void setCut(bool isCut)
    {
        m_isCut = isCut;
    }

    /// Every answer comes so much later.
    void setDelay(RadishSwitch::Duration delay)
    {
        m_delay = delay;
    }

    /// The answers of the next `n` writes through this link are lost.
    void loseAnswersOfNextWrites(int n)
    {
        m_lostAnswers = n;
    }

    /// The next `n` writes through this link are lost on the way: no effect, and a timeout.
    void loseNextWrites(int n)
    {
        m_lostWrites = n;
    }

    int calls() const
    {
        return m_calls;
    }

    int writes() const
    {
        return m_writes;
    }

    void get(const std::string &key, Callback<RadishSwitch::StoredObject> callback) override
    {
        if (refuse(callback)) {
            return;
        }
        m_store.get(key, delayed(std::move(callback)));
    }

    void put(const std::string &key, std::string value, std::uint64_t expectedVersion,
             Callback<std::uint64_t> callback) override
    {
        if (refuse(callback)) {
            return;
        }
        ++m_writes;
        if (m_lostWrites > 0) {
            --m_lostWrites;
            m_tasks.post([callback = std::move(callback), key] {
                callback(RadishSwitch::makeFailure(RadishSwitch::FailureCode::StoreTimeout, key));
            });
            return;
        }
        if (m_lostAnswers > 0) {
            --m_lostAnswers;
            callback = [callback = std::move(callback), key](const auto &) {
                callback(RadishSwitch::makeFailure(RadishSwitch::FailureCode::StoreTimeout, key));
            };
        }
        m_store.put(key, std::move(value), expectedVersion, delayed(std::move(callback)));
    }

    void remove(const std::string &key, std::uint64_t expectedVersion,
                std::function<void(absl::Status)> callback) override
    {
        m_store.remove(key, expectedVersion, std::move(callback));
    }

    void list(const std::string &prefix, Callback<RadishSwitch::StoreChanges> callback) override
    {
        if (!refuse(callback)) {
            m_store.list(prefix, delayed(std::move(callback)));
        }
    }

    void watch(const std::string &prefix, std::uint64_t fromVersion,
               Callback<RadishSwitch::StoreChanges> callback) override
    {
        if (!refuse(callback)) {
            m_store.watch(prefix, fromVersion, delayed(std::move(callback)));
        }
    }

private:
    template<typename T>
    bool refuse(const Callback<T> &callback)
    {
        ++m_calls;
        if (!m_isCut) {
            return false;
        }
        m_tasks.post([callback] {
            callback(RadishSwitch::makeFailure(RadishSwitch::FailureCode::StoreUnavailable, "the link is cut"));
        });
        return true;
    }

    template<typename T>
    Callback<T> delayed(Callback<T> callback)
    {
        if (m_delay == RadishSwitch::Duration::zero()) {
            return callback;
        }
        return [this, delay = m_delay, callback = std::move(callback)](absl::StatusOr<T> answer) {
            m_timers.after(delay, [callback, answer = std::move(answer)] {
                callback(answer);
            });
        };
    }

    RadishSwitch::ObjectStore &m_store;
    RadishSwitch::TaskQueue &m_tasks;
    RadishSwitch::TimerService &m_timers;
    RadishSwitch::Duration m_delay = RadishSwitch::Duration::zero();
    bool m_isCut = false;
    int m_lostAnswers = 0;
    int m_lostWrites = 0;
    int m_calls = 0;
    int m_writes = 0;
};
