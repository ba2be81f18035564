#include "newslistener.h"

#include <algorithm>
#include <iterator>

namespace RadishSwitch
{

void NewsListener::add(std::string prefix, ObjectListener &part)
{
    m_parts.emplace_back(std::move(prefix), &part);
}

void NewsListener::objectsListed(const std::vector<StoredObject> &objects)
{
    for (const auto &[prefix, part] : m_parts) {
        part->objectsListed(those(objects, prefix));
    }
}

void NewsListener::objectsChanged(const std::vector<StoredObject> &objects)
{
    for (const auto &[prefix, part] : m_parts) {
        const std::vector<StoredObject> own = those(objects, prefix);
        if (!own.empty()) {
            part->objectsChanged(own);
        }
    }
}

std::vector<StoredObject> NewsListener::those(const std::vector<StoredObject> &objects, const std::string &prefix)
{
    std::vector<StoredObject> own;
    std::ranges::copy_if(objects, std::back_inserter(own), [&prefix](const StoredObject &object) {
        return object.key.starts_with(prefix);
    });
    return own;
}

}
