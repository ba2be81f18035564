#pragma once

#include "base/objectstore.h"

#include <vector>

namespace RadishSwitch
{

/// Hears of the objects that an ObjectFollower follows.
class ObjectListener
{
public:
    virtual ~ObjectListener() = default;

    /// All objects, as they stood at one moment: what is not among them does not exist.
    virtual void objectsListed(const std::vector<StoredObject> &objects) = 0;

    /// Objects that changed since, in order; those removed have version zero.
    virtual void objectsChanged(const std::vector<StoredObject> &objects) = 0;
};

}
