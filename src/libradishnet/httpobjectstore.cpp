#include "httpobjectstore.h"

#include "base/failure.h"
#include "httpclient.h"
#include "storeanswers.h"
#include "urlcoding.h"

#include <absl/strings/numbers.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace RadishSwitch
{

namespace net = boost::asio;

namespace
{

constexpr char kVersionHeader[] = "X-Object-Version";

std::string objectTarget(const std::string &key)
{
    return "/objects/" + encodeUrlPart(key);
}

std::string listTarget(const std::string &prefix)
{
    return "/objects?prefix=" + encodeUrlPart(prefix);
}

std::uint64_t versionOf(const HttpResponse &response)
{
    std::uint64_t version = 0;
    const auto text = response.headers.find(kVersionHeader);
    return text && absl::SimpleAtoi(*text, &version) ? version : 0;
}

absl::StatusOr<StoredObject> readObject(const std::string &key, HttpResponse response)
{
    if (!isStoreSuccess(response)) {
        return failureOfStoreAnswer(response, key);
    }
    const std::uint64_t version = versionOf(response);
    if (version == 0) {
        return makeFailure(FailureCode::ObjectMalformed, key + ": the answer names no version");
    }
    return StoredObject{key, std::move(response.body), version};
}

absl::StatusOr<std::uint64_t> readNewVersion(const std::string &key, const HttpResponse &response)
{
    if (!isStoreSuccess(response)) {
        return failureOfStoreAnswer(response, key);
    }
    const std::uint64_t version = versionOf(response);
    if (version == 0) {
        return withUnknownOutcome(makeFailure(FailureCode::StoreTimeout, key + ": the answer names no version"));
    }
    return version;
}

absl::StatusOr<StoreChanges> readChanges(const std::string &prefix, const HttpResponse &response)
{
    if (!isStoreSuccess(response)) {
        return failureOfStoreAnswer(response, prefix);
    }
    try {
        const auto document = nlohmann::json::parse(response.body);
        StoreChanges changes;
        changes.nextVersion = document.at("version").get<std::uint64_t>();
        for (const auto &entry : document.at("objects")) {
            changes.objects.push_back(StoredObject{entry.at("key").get<std::string>(),
                                                   entry.value("value", std::string()),
                                                   entry.at("version").get<std::uint64_t>()});
        }
        return changes;
    } catch (const nlohmann::json::exception &e) {
        return makeFailure(FailureCode::ObjectMalformed, prefix + ": the answer isn't a list of objects: " + e.what());
    }
}

HttpRequest conditional(std::string method, const std::string &key, std::uint64_t expectedVersion)
{
    HttpRequest request;
    request.method = std::move(method);
    request.target = objectTarget(key);
    if (expectedVersion == 0) {
        request.headers.add("If-None-Match", "*");
    } else {
        request.headers.add("If-Match", std::to_string(expectedVersion));
    }
    return request;
}

HttpRequest readOf(std::string target)
{
    HttpRequest request;
    request.target = std::move(target);
    return request;
}

}

class HttpObjectStore::Private : public std::enable_shared_from_this<HttpObjectStore::Private>
{
public:
    using Answer = std::function<void(absl::StatusOr<HttpResponse>)>;

    Private(WorkerPool &workers, std::string address, HttpObjectStoreSettings settings)
        : settings(settings)
        , m_address(std::move(address))
        , m_context(workers.context())
        , m_client(workers, settings.callTimeout)
    {
    }

    void call(HttpRequest request, Duration timeout, Answer onAnswer)
    {
        net::co_spawn(m_context, exchange(shared_from_this(), std::move(request), timeout, std::move(onAnswer)),
                      net::detached);
    }

    const HttpObjectStoreSettings settings;

private:
    static net::awaitable<void> exchange(std::shared_ptr<Private> self, HttpRequest request, Duration timeout,
                                         Answer onAnswer)
    {
        auto response = co_await self->m_client.fetch(self->m_address, std::move(request), timeout, Duration::zero(),
                                                      kMaximumStoreAnswerBytes);
        onAnswer(std::move(response));
    }

    const std::string m_address;
    net::io_context &m_context;
    HttpClient m_client;
};

HttpObjectStore::HttpObjectStore(WorkerPool &workers, std::string address, HttpObjectStoreSettings settings)
    : d(std::make_shared<Private>(workers, std::move(address), settings))
{
}

HttpObjectStore::~HttpObjectStore() = default;

void HttpObjectStore::get(const std::string &key, Callback<StoredObject> callback)
{
    d->call(readOf(objectTarget(key)), d->settings.callTimeout,
            [key, callback = std::move(callback)](absl::StatusOr<HttpResponse> response) {
                if (!response.ok()) {
                    return callback(failureOfStoreCall(response.status()));
                }
                callback(readObject(key, std::move(*response)));
            });
}

void HttpObjectStore::put(const std::string &key, std::string value, std::uint64_t expectedVersion,
                          Callback<std::uint64_t> callback)
{
    HttpRequest request = conditional("PUT", key, expectedVersion);
    request.body = std::move(value);
    d->call(std::move(request), d->settings.callTimeout,
            [key, callback = std::move(callback)](absl::StatusOr<HttpResponse> response) {
                if (!response.ok()) {
                    return callback(failureOfStoreCall(response.status()));
                }
                callback(readNewVersion(key, *response));
            });
}

void HttpObjectStore::remove(const std::string &key, std::uint64_t expectedVersion,
                             std::function<void(absl::Status)> callback)
{
    d->call(conditional("DELETE", key, expectedVersion), d->settings.callTimeout,
            [key, callback = std::move(callback)](absl::StatusOr<HttpResponse> response) {
                if (!response.ok()) {
                    return callback(failureOfStoreCall(response.status()));
                }
                callback(isStoreSuccess(*response) ? absl::OkStatus() : failureOfStoreAnswer(*response, key));
            });
}

void HttpObjectStore::list(const std::string &prefix, Callback<StoreChanges> callback)
{
    d->call(readOf(listTarget(prefix)), d->settings.callTimeout,
            [prefix, callback = std::move(callback)](absl::StatusOr<HttpResponse> response) {
                if (!response.ok()) {
                    return callback(failureOfStoreCall(response.status()));
                }
                callback(readChanges(prefix, *response));
            });
}

void HttpObjectStore::watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback)
{
    d->call(readOf(listTarget(prefix) + "&watch=1&from=" + std::to_string(fromVersion)), d->settings.watchTimeout,
            [prefix, callback = std::move(callback)](absl::StatusOr<HttpResponse> response) {
                if (!response.ok()) {
                    return callback(failureOfStoreCall(response.status()));
                }
                callback(readChanges(prefix, *response));
            });
}

}
