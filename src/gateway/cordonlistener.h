#pragma once

#include "serving/callgate.h"
#include "serving/objectlistener.h"
#include "servingcatalogue.h"

#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// Passes cordons to the call gate: orders of operators that an availability zone receives no new calls.
class CordonListener : public ObjectListener
{
public:
    CordonListener(const ServingCatalogue &catalogue, CallGate &gate);

    void objectsListed(const std::vector<StoredObject> &objects) override;
    void objectsChanged(const std::vector<StoredObject> &objects) override;

private:
    std::optional<std::string> zoneOf(const StoredObject &object) const;
    void apply(const StoredObject &object);

    const ServingCatalogue &m_catalogue;
    CallGate &m_gate;
};

}
