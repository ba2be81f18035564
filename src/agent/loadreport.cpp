#include "loadreport.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace RadishSwitch
{

namespace
{

using Json = nlohmann::json;

/// Reads typed fields of one object and remembers whether one had the wrong type.
class FieldReader
{
public:
    explicit FieldReader(const Json &object)
        : m_object(object)
    {
        m_isValid = object.is_object();
    }

    bool isValid() const
    {
        return m_isValid;
    }

    template<typename T>
    void readCount(const char *name, T &value)
    {
        const Json *field = find(name);
        if (field == nullptr) {
            return;
        }
        if (!field->is_number_unsigned()
            || field->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<T>::max())) {
            m_isValid = false;
            return;
        }
        value = static_cast<T>(field->get<std::uint64_t>());
    }

    void readNumber(const char *name, double &value)
    {
        const Json *field = find(name);
        if (field == nullptr) {
            return;
        }
        m_isValid = m_isValid && field->is_number() && field->get<double>() >= 0;
        value = m_isValid ? field->get<double>() : 0;
    }

    void readText(const char *name, std::string &value)
    {
        const Json *field = find(name);
        if (field == nullptr) {
            return;
        }
        m_isValid = m_isValid && field->is_string();
        value = m_isValid ? field->get<std::string>() : std::string();
    }

    void readFlag(const char *name, bool &value)
    {
        const Json *field = find(name);
        if (field == nullptr) {
            return;
        }
        m_isValid = m_isValid && field->is_boolean();
        value = m_isValid && field->get<bool>();
    }

    /// Calls `take` with each element of a list; it tells whether the element is valid.
    template<typename Take>
    void readList(const char *name, Take take)
    {
        const Json *field = find(name);
        if (field == nullptr) {
            return;
        }
        m_isValid = m_isValid && field->is_array();
        for (std::size_t n = 0; m_isValid && n < field->size(); ++n) {
            m_isValid = take((*field)[n]);
        }
    }

private:
    const Json *find(const char *name) const
    {
        if (!m_isValid) {
            return nullptr;
        }
        const auto it = m_object.find(name);
        return it == m_object.end() || it->is_null() ? nullptr : &*it;
    }

    const Json &m_object;
    bool m_isValid = true;
};

bool takeName(const Json &element, std::vector<std::string> &names)
{
    if (!element.is_string()) {
        return false;
    }
    names.push_back(element.get<std::string>());
    return true;
}

bool takeCacheEvent(const Json &element, std::vector<CacheEvent> &events)
{
    CacheEvent event;
    FieldReader fields(element);
    fields.readCount("sequence", event.sequence);
    fields.readFlag("stored", event.isStored);
    fields.readList("prefix_hashes", [&](const Json &hash) {
        if (!hash.is_number_unsigned()) {
            return false;
        }
        event.prefixHashes.push_back(hash.get<std::uint64_t>());
        return true;
    });
    events.push_back(std::move(event));
    return fields.isValid();
}

}

absl::StatusOr<LoadReport> parseLoadReport(std::string_view json)
{
    const Json document = Json::parse(json, nullptr, false);
    LoadReport report;
    FieldReader fields(document);
    fields.readCount("running", report.running);
    fields.readCount("queued", report.queued);
    fields.readCount("capacity", report.capacity);
    fields.readCount("queued_tokens", report.queuedTokens);
    fields.readNumber("tokens_per_second", report.tokensPerSecond);
    fields.readText("version", report.version);
    fields.readText("software_version", report.softwareVersion);
    fields.readList("models", [&](const Json &model) {
        return takeName(model, report.models);
    });
    fields.readList("adapters", [&](const Json &adapter) {
        return takeName(adapter, report.adapters);
    });
    fields.readList("cache_events", [&](const Json &event) {
        return takeCacheEvent(event, report.cacheEvents);
    });
    if (!fields.isValid()) {
        return makeFailure(FailureCode::MalformedMessage, "the engine's load report is malformed");
    }
    return report;
}

}
