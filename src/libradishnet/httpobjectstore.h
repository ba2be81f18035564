#pragma once

#include "base/objectstore.h"
#include "base/timerservice.h"
#include "workerpool.h"

#include <memory>
#include <string>

namespace RadishSwitch
{

struct HttpObjectStoreSettings {
    /// How long a call may take, but for a watch.
    Duration callTimeout = std::chrono::seconds(1);
    /// How long a watch may stay without an answer: longer than the service's own bound of 10 s.
    Duration watchTimeout = std::chrono::seconds(12);
};

/// The platform's object API over HTTP/1.1:
/// - `GET /objects/KEY`: 200, the value, and its version as `X-Object-Version`; 404.
/// - `PUT /objects/KEY` with `If-Match: VERSION` or `If-None-Match: *`: 200 with `X-Object-Version`; 412; 413.
/// - `DELETE /objects/KEY` with `If-Match: VERSION`: 200; 404; 412.
/// - `GET /objects?prefix=P`: `{"version": N, "objects": [{"key", "version", "value"}]}`.
/// - `GET /objects?prefix=P&watch=1&from=N`: the same form, at the first change after N.
///
/// A call whose request may have left this process is StoreTimeout when no answer came, never StoreUnavailable. A
/// watch that is silent past its bound is given up as StoreTimeout: the caller lists anew, since a silent connection
/// tells nothing about what has changed. An answer that can't be read is ObjectMalformed for a read, and StoreTimeout
/// for a write, which may have taken effect.
class HttpObjectStore : public ObjectStore
{
public:
    /// `address` is "ip:port".
    HttpObjectStore(WorkerPool &workers, std::string address, HttpObjectStoreSettings settings = {});
    ~HttpObjectStore() override;

    void get(const std::string &key, Callback<StoredObject> callback) override;
    void put(const std::string &key, std::string value, std::uint64_t expectedVersion,
             Callback<std::uint64_t> callback) override;
    void remove(const std::string &key, std::uint64_t expectedVersion,
                std::function<void(absl::Status)> callback) override;
    void list(const std::string &prefix, Callback<StoreChanges> callback) override;
    void watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback) override;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
