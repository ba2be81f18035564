#pragma once

#include "base/objectstore.h"
#include "serving/endpointlisting.h"
#include "serving/servingconfiguration.h"

#include <absl/status/statusor.h>

#include <string>

namespace RadishSwitch
{

/// The keys and formats of the objects in a platform's store by which calls are served.
class ServingCatalogue
{
public:
    virtual ~ServingCatalogue() = default;

    /// Prefix under which the store keeps the configuration.
    virtual std::string configurationPrefix() const = 0;

    /// Whether the object is the configuration in force.
    virtual bool isConfiguration(const StoredObject &object) const = 0;

    /// ObjectMalformed if the object cannot be parsed.
    virtual absl::StatusOr<ServingConfiguration> readConfiguration(const StoredObject &object) const = 0;

    /// Prefix under which the store keeps the list of endpoints.
    virtual std::string endpointPrefix() const = 0;

    /// The endpoint of an entry of the list, which may have been removed.
    virtual EndpointId endpointOf(const std::string &key) const = 0;

    /// ObjectMalformed if the object cannot be parsed.
    virtual absl::StatusOr<EndpointListing> readEndpoint(const StoredObject &object) const = 0;

    /// Prefix under which the store keeps cordons: orders of operators that a zone receives no new calls.
    virtual std::string cordonPrefix() const = 0;

    /// The zone of a cordon, which may have been withdrawn. ObjectMalformed if the key names no zone.
    virtual absl::StatusOr<std::string> cordonedZoneOf(const std::string &key) const = 0;
};

}
