#include "configurationlistener.h"

#include "log.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("configuration");

}

ConfigurationListener::ConfigurationListener(const ServingCatalogue &catalogue, Callback onUpdated)
    : m_catalogue(catalogue)
    , m_onUpdated(std::move(onUpdated))
{
}

void ConfigurationListener::objectsListed(const std::vector<StoredObject> &objects)
{
    objectsChanged(objects);
}

void ConfigurationListener::objectsChanged(const std::vector<StoredObject> &objects)
{
    // If several versions arrive at once, only the newest is parsed, since this takes milliseconds on a small instance.
    const StoredObject *newest = nullptr;
    for (const StoredObject &object : objects) {
        if (m_catalogue.isConfiguration(object) && (!newest || object.version >= newest->version)) {
            newest = &object;
        }
    }
    if (!newest) {
        return;
    }
    absl::StatusOr<ServingConfiguration> configuration = m_catalogue.readConfiguration(*newest);
    if (!configuration.ok()) {
        kLog.error("configuration unreadable, the previous one stays in force",
                   {field("revision", newest->version), field("error", std::string(configuration.status().message()))});
        return;
    }
    std::size_t keys = 0;
    for (const ServedOrganisation &organisation : configuration->organisations) {
        keys += organisation.apiKeys.size();
    }
    if (m_table && configuration->version <= m_table->configuration().version) {
        return;
    }
    kLog.info("in force",
              {field("version", configuration->version), field("revision", newest->version),
               field("routes", configuration->routes.size()), field("keys", keys),
               field("bytes", newest->value.size())});
    m_table = std::make_shared<const ServingTable>(std::move(*configuration));
    m_onUpdated(m_table);
}

}
