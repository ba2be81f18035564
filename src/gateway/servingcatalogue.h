#pragma once

#include "base/objectstore.h"
#include "serving/endpointlisting.h"
#include "serving/servingconfiguration.h"

#include <absl/status/statusor.h>

#include <string>

namespace RadishSwitch
{

/// Where a platform's store keeps what calls are served by, and in which form.
class ServingCatalogue
{
public:
    virtual ~ServingCatalogue() = default;

    /// Prefix under which the store keeps the configuration.
    virtual std::string configurationPrefix() const = 0;

    /// Whether the object is the configuration in force.
    virtual bool isConfiguration(const StoredObject &object) const = 0;

    /// ObjectMalformed when it can't be read.
    virtual absl::StatusOr<ServingConfiguration> readConfiguration(const StoredObject &object) const = 0;

    /// Prefix under which the store keeps the list of endpoints.
    virtual std::string endpointPrefix() const = 0;

    /// The endpoint of an entry of the list, also of one that was removed.
    virtual EndpointId endpointOf(const std::string &key) const = 0;

    /// ObjectMalformed when it can't be read.
    virtual absl::StatusOr<EndpointListing> readEndpoint(const StoredObject &object) const = 0;

    /// Prefix under which the store keeps operators' orders that zones get no new calls.
    virtual std::string cordonPrefix() const = 0;

    /// The zone of such an order, also of one that was taken back. ObjectMalformed when it names none.
    virtual absl::StatusOr<std::string> cordonedZoneOf(const std::string &key) const = 0;
};

}
