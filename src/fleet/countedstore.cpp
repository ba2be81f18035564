#include "countedstore.h"

#include "log.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("store");

std::string kindOf(const std::string &key)
{
    return key.substr(0, key.find('/'));
}

}

CountedStore::CountedStore(ObjectStore &store, TimerService &timers, Metrics &metrics)
    : ForwardingStore(store)
    , m_timers(timers)
    , m_metrics(metrics)
{
}

CountedStore::~CountedStore()
{
    m_timers.cancel(m_timer);
}

void CountedStore::get(const std::string &key, Callback<StoredObject> callback)
{
    count("get", key);
    ForwardingStore::get(key, std::move(callback));
}

void CountedStore::put(const std::string &key, std::string value, std::uint64_t expectedVersion,
                       Callback<std::uint64_t> callback)
{
    count("put", key);
    ForwardingStore::put(key, std::move(value), expectedVersion, std::move(callback));
}

void CountedStore::remove(const std::string &key, std::uint64_t expectedVersion,
                          std::function<void(absl::Status)> callback)
{
    count("remove", key);
    ForwardingStore::remove(key, expectedVersion, std::move(callback));
}

void CountedStore::list(const std::string &prefix, Callback<StoreChanges> callback)
{
    count("list", prefix);
    ForwardingStore::list(prefix, std::move(callback));
}

void CountedStore::listRelaxed(const std::string &prefix, Callback<StoreChanges> callback)
{
    count("list relaxed", prefix);
    ForwardingStore::listRelaxed(prefix, std::move(callback));
}

void CountedStore::watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback)
{
    count("watch", prefix);
    ForwardingStore::watch(prefix, fromVersion, std::move(callback));
}

void CountedStore::count(const std::string &verb, const std::string &key)
{
    const std::string purpose = verb + " " + kindOf(key);
    Count &it = m_counts[purpose];
    if (!it.total) {
        it.total = &m_metrics.counter("radishswitch_store_calls_total", "Calls to the platform's store",
                                      {{"purpose", purpose}});
    }
    it.total->add();
    ++it.unlogged;
    if (m_timer == 0) {
        m_timer = m_timers.after(kLogInterval, [this] {
            m_timer = 0;
            logCounts();
        });
    }
}

void CountedStore::logCounts()
{
    std::string text;
    for (auto &[purpose, it] : m_counts) {
        if (const int n = std::exchange(it.unlogged, 0); n > 0) {
            text += (text.empty() ? "" : ", ") + purpose + " " + std::to_string(n);
        }
    }
    kLog.info("calls", {field("counts", text)});
}

}
