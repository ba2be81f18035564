#pragma once

#include "serving/objectlistener.h"

#include <string>
#include <utility>

namespace RadishSwitch
{

/// Prefix of the store's objects by which gateways tell one another what each of them sees. One watch brings all.
inline constexpr char kNewsPrefix[] = "news/";

/// Hands the gateways' news to the parts that they are for, by their keys.
class NewsListener : public ObjectListener
{
public:
    /// The part's keys begin with `prefix`; it outlives this.
    void add(std::string prefix, ObjectListener &part);

    void objectsListed(const std::vector<StoredObject> &objects) override;
    void objectsChanged(const std::vector<StoredObject> &objects) override;

private:
    static std::vector<StoredObject> those(const std::vector<StoredObject> &objects, const std::string &prefix);

    std::vector<std::pair<std::string, ObjectListener *>> m_parts;
};

}
