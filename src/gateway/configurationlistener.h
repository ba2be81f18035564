#pragma once

#include "serving/objectlistener.h"
#include "serving/servingtable.h"
#include "servingcatalogue.h"

#include <functional>

namespace RadishSwitch
{

/// Keeps the newest configuration that can be read. Its version only ever grows: a store that answers from before must
/// not bring back what was taken out of force.
class ConfigurationListener : public ObjectListener
{
public:
    using Callback = std::function<void(const ServingTablePointer &)>;

    ConfigurationListener(const ServingCatalogue &catalogue, Callback onUpdated);

    void objectsListed(const std::vector<StoredObject> &objects) override;
    void objectsChanged(const std::vector<StoredObject> &objects) override;

    /// Null before any is known.
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
