#include "cordonlistener.h"

#include "log.h"

#include <absl/strings/str_join.h>

namespace RadishSwitch
{

namespace
{

const Log kLog("zones");

}

CordonListener::CordonListener(const ServingCatalogue &catalogue, CallGate &gate)
    : m_catalogue(catalogue)
    , m_gate(gate)
{
}

void CordonListener::objectsListed(const std::vector<StoredObject> &objects)
{
    std::vector<std::string> zones;
    for (const StoredObject &object : objects) {
        if (const std::optional<std::string> zone = zoneOf(object)) {
            zones.push_back(*zone);
        }
    }
    m_gate.setClosedZones(zones);
    kLog.info("listed", {field("closed", absl::StrJoin(m_gate.registry().cordons().closedZones(), ","))});
}

void CordonListener::objectsChanged(const std::vector<StoredObject> &objects)
{
    for (const StoredObject &object : objects) {
        apply(object);
    }
}

void CordonListener::apply(const StoredObject &object)
{
    const std::optional<std::string> zone = zoneOf(object);
    if (!zone) {
        return;
    }
    if (object.version == 0) {
        kLog.warning("opened", {field("zone", *zone)});
        return m_gate.openZone(*zone);
    }
    kLog.warning("closed", {field("zone", *zone), field("revision", object.version)});
    m_gate.closeZone(*zone);
}

std::optional<std::string> CordonListener::zoneOf(const StoredObject &object) const
{
    const absl::StatusOr<std::string> zone = m_catalogue.cordonedZoneOf(object.key);
    if (!zone.ok()) {
        kLog.error("unreadable cordon ignored",
                   {field("error", std::string(zone.status().message())), field("revision", object.version)});
        return std::nullopt;
    }
    return *zone;
}

}
