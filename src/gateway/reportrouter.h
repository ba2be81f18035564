#pragma once

#include "serving/objectlistener.h"

#include <string>
#include <utility>

namespace RadishSwitch
{

/// Prefix of the store's objects by which gateways tell one another what each of them sees. One watch brings all.
inline constexpr char kReportPrefix[] = "news/";

/// Hands the gateways' news to the parts that they are for, by their keys.
class ReportRouter : public ObjectListener
{
public:
    /// The part's keys begin with `prefix`; it outlives this.
    void add(std::string prefix, ObjectListener &listener);

    void objectsListed(const std::vector<StoredObject> &objects) override;
    void objectsChanged(const std::vector<StoredObject> &objects) override;

private:
    static std::vector<StoredObject> matching(const std::vector<StoredObject> &objects, const std::string &prefix);

    std::vector<std::pair<std::string, ObjectListener *>> m_listeners;
};

}
