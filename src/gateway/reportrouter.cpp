#include "reportrouter.h"

#include <algorithm>
#include <iterator>

namespace RadishSwitch
{

void ReportRouter::add(std::string prefix, ObjectListener &listener)
{
    m_listeners.emplace_back(std::move(prefix), &listener);
}

void ReportRouter::objectsListed(const std::vector<StoredObject> &objects)
{
    for (const auto &[prefix, listener] : m_listeners) {
        listener->objectsListed(matching(objects, prefix));
    }
}

void ReportRouter::objectsChanged(const std::vector<StoredObject> &objects)
{
    for (const auto &[prefix, listener] : m_listeners) {
        const std::vector<StoredObject> matched = matching(objects, prefix);
        if (!matched.empty()) {
            listener->objectsChanged(matched);
        }
    }
}

std::vector<StoredObject> ReportRouter::matching(const std::vector<StoredObject> &objects, const std::string &prefix)
{
    std::vector<StoredObject> matched;
    std::ranges::copy_if(objects, std::back_inserter(matched), [&prefix](const StoredObject &object) {
        return object.key.starts_with(prefix);
    });
    return matched;
}

}
