#pragma once

#include "domain/configversion.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace oriolerill::standins {

/// Versioned objects of the platform stand-in.
class ObjectTable
{
public:
    struct Object
    {
        std::string value;
        domain::ConfigVersion version;
        bool isDeleted = false;
    };
    using Objects = std::map<std::string, Object>;

    const Object *find(const std::string &key) const;
    /// Objects with the prefix; with `after`, the changes since that version, including deletions.
    Objects list(const std::string &prefix,
            const std::optional<domain::ConfigVersion> &after = std::nullopt) const;

    domain::ConfigVersion put(const std::string &key, std::string value);
    domain::ConfigVersion remove(const std::string &key);

    /// Starts a new epoch and gives every object a new version in it.
    void startEpoch();
    /// Discards deletions and the history; watches from an earlier version must list again.
    void compact();
    bool hasChangesSince(const domain::ConfigVersion &version) const;
    domain::ConfigVersion version() const { return m_version; }

private:
    domain::ConfigVersion nextVersion();

    Objects m_objects;
    domain::ConfigVersion m_version{1, 0};
    domain::ConfigVersion m_oldestVersion{1, 0};
};

std::optional<domain::ConfigVersion> parseVersion(std::string_view text);
std::string toText(const domain::ConfigVersion &version);

} // namespace oriolerill::standins
