#include "objecttable.h"

#include <charconv>
#include <utility>

namespace oriolerill::standins {

const ObjectTable::Object *ObjectTable::find(const std::string &key) const
{
    const auto it = m_objects.find(key);
    return it == m_objects.end() || it->second.isDeleted ? nullptr : &it->second;
}

ObjectTable::Objects ObjectTable::list(
        const std::string &prefix, const std::optional<domain::ConfigVersion> &after) const
{
    Objects found;
    for (auto it = m_objects.lower_bound(prefix);
            it != m_objects.end() && it->first.starts_with(prefix); ++it) {
        if (after ? it->second.version > *after : !it->second.isDeleted)
            found.insert(*it);
    }
    return found;
}

domain::ConfigVersion ObjectTable::put(const std::string &key, std::string value)
{
    m_objects[key] = Object{std::move(value), nextVersion(), false};
    return m_version;
}

domain::ConfigVersion ObjectTable::remove(const std::string &key)
{
    m_objects[key] = Object{{}, nextVersion(), true};
    return m_version;
}

void ObjectTable::startEpoch()
{
    m_version = {m_version.epoch + 1, 0};
    std::erase_if(m_objects, [](const auto &object) { return object.second.isDeleted; });
    for (auto &[key, object] : m_objects)
        object.version = nextVersion();
    m_oldestVersion = m_version;
}

void ObjectTable::compact()
{
    std::erase_if(m_objects, [](const auto &object) { return object.second.isDeleted; });
    m_oldestVersion = m_version;
}

bool ObjectTable::hasChangesSince(const domain::ConfigVersion &version) const
{
    return version >= m_oldestVersion && version.epoch == m_version.epoch;
}

domain::ConfigVersion ObjectTable::nextVersion()
{
    ++m_version.revision;
    return m_version;
}

std::optional<domain::ConfigVersion> parseVersion(std::string_view text)
{
    domain::ConfigVersion version;
    const char *end = text.data() + text.size();
    const auto epoch = std::from_chars(text.data(), end, version.epoch);
    if (epoch.ec != std::errc() || epoch.ptr == end || *epoch.ptr != '.')
        return std::nullopt;
    const auto revision = std::from_chars(epoch.ptr + 1, end, version.revision);
    if (revision.ec != std::errc() || revision.ptr != end)
        return std::nullopt;
    return version;
}

std::string toText(const domain::ConfigVersion &version)
{
    return std::to_string(version.epoch) + '.' + std::to_string(version.revision);
}

} // namespace oriolerill::standins
