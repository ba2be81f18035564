#pragma once

#include "base/failure.h"
#include "base/objectstore.h"
#include "sessionrecorder.h"

#include <functional>
#include <string>
#include <utility>

/// The store as one process sees it, with each call and its answer written down. A call takes effect half-way.
class RecordedObjectStore : public RadishSwitch::ObjectStore
{
public:
    using StoredObject = RadishSwitch::StoredObject;
    using StoreChanges = RadishSwitch::StoreChanges;
    /// Tells an object's text in users' terms.
    using Teller = std::function<std::string(const std::string &key, const std::string &value)>;

    RecordedObjectStore(std::string process, RadishSwitch::ObjectStore &store, SessionRecorder &recorder,
                        RadishSwitch::TimerService &timers, RadishSwitch::Duration delay, Teller teller)
        : m_process(std::move(process))
        , m_store(store)
        , m_recorder(recorder)
        , m_timers(timers)
        , m_delay(delay)
        , m_teller(std::move(teller))
    {
    }

    void get(const std::string &key, Callback<StoredObject> callback) override
    {
        m_recorder.sends(m_process, "store", "read " + key);
        m_timers.after(m_delay, [this, key, callback] {
            m_store.get(key, [this, key, callback](const auto &object) {
                answer(object.ok() ? key + " is " + m_teller(key, object->value) : told(object.status()), [=] {
                    callback(object);
                });
            });
        });
    }

    void put(const std::string &key, std::string value, std::uint64_t version,
             Callback<std::uint64_t> callback) override
    {
        m_recorder.sends(m_process, "store",
                         "write " + key + " as " + m_teller(key, value) + ", if its version still is "
                             + std::to_string(version));
        m_timers.after(m_delay, [this, key, value = std::move(value), version, callback] {
            m_store.put(key, value, version, [this, callback](const auto &written) {
                answer(written.ok() ? "written, version " + std::to_string(*written) : told(written.status()), [=] {
                    callback(written);
                });
            });
        });
    }

    void remove(const std::string &key, std::uint64_t version, std::function<void(absl::Status)> callback) override
    {
        m_recorder.sends(m_process, "store", "remove " + key);
        m_store.remove(key, version, std::move(callback));
    }

    void list(const std::string &prefix, Callback<StoreChanges> callback) override
    {
        m_recorder.sends(m_process, "store", "list " + prefix);
        m_store.list(prefix, std::move(callback));
    }

    void watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback) override
    {
        m_store.watch(prefix, fromVersion, std::move(callback));
    }

private:
    static std::string told(const absl::Status &status)
    {
        switch (RadishSwitch::failureCode(status)) {
        case RadishSwitch::FailureCode::ObjectMissing:
            return "there is none";
        case RadishSwitch::FailureCode::StoreTimeout:
            return "(no answer comes: it may be written or not)";
        case RadishSwitch::FailureCode::StoreUnavailable:
            return "(no connection: nothing is done)";
        case RadishSwitch::FailureCode::VersionConflict:
            return "not written, another was faster";
        default:
            return std::string(RadishSwitch::failureName(RadishSwitch::failureCode(status)));
        }
    }

    void answer(const std::string &text, std::function<void()> callback)
    {
        m_recorder.sends("store", m_process, text);
        m_timers.after(m_delay, std::move(callback));
    }

    const std::string m_process;
    RadishSwitch::ObjectStore &m_store;
    SessionRecorder &m_recorder;
    RadishSwitch::TimerService &m_timers;
    const RadishSwitch::Duration m_delay;
    const Teller m_teller;
};
