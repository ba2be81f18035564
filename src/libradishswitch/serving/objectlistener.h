#pragma once

#include "base/objectstore.h"

#include <vector>

namespace RadishSwitch
{

/// Notified of the objects that an ObjectFollower follows.
class ObjectListener
{
public:
    virtual ~ObjectListener() = default;

    /// Called with all objects as of one moment. Objects that are not among them don't exist.
    virtual void objectsListed(const std::vector<StoredObject> &objects) = 0;

    /// Called with the objects that changed since, in order. Removed objects have version zero.
    virtual void objectsChanged(const std::vector<StoredObject> &objects) = 0;
};

}
