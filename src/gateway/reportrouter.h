#pragma once

#include "serving/objectlistener.h"

#include <string>
#include <utility>

namespace RadishSwitch
{

/// Key prefix of the objects by which gateways exchange their observations. One watch of the store covers all of them.
inline constexpr char kReportPrefix[] = "news/";

/// Distributes changes of the objects exchanged by gateways to listeners, by the prefix of the key.
class ReportRouter : public ObjectListener
{
public:
    /// Adds a listener for the keys that begin with `prefix`. The listener must outlive this router.
    void add(std::string prefix, ObjectListener &listener);

    void objectsListed(const std::vector<StoredObject> &objects) override;
    void objectsChanged(const std::vector<StoredObject> &objects) override;

private:
    static std::vector<StoredObject> matching(const std::vector<StoredObject> &objects, const std::string &prefix);

    std::vector<std::pair<std::string, ObjectListener *>> m_listeners;
};

}
