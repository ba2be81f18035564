#pragma once

#include "serving/objectlistener.h"
#include "serving/servingtable.h"
#include "servingcatalogue.h"

#include <functional>

namespace RadishSwitch
{

/// Keeps the newest readable configuration. An older version never replaces a newer one, so that a store with stale
/// answers cannot bring back a configuration that has been superseded.
class ConfigurationListener : public ObjectListener
{
public:
    using Callback = std::function<void(const ServingTablePointer &)>;

    ConfigurationListener(const ServingCatalogue &catalogue, Callback onUpdated);

    void objectsListed(const std::vector<StoredObject> &objects) override;
    void objectsChanged(const std::vector<StoredObject> &objects) override;

    /// Null until the first configuration has been read.
    const ServingTablePointer &table() const
    {
        return m_table;
    }

private:
    const ServingCatalogue &m_catalogue;
    const Callback m_onUpdated;
    ServingTablePointer m_table;
};

}
