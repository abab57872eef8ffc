#pragma once

#include "domain/configversion.h"
#include "domain/timepoint.h"
#include "objectstore/iobjectstore.h"
#include "protocol/control.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace oriolerill::relay::internal {

/// Changes of one collection that a publisher sends to the other entries.
struct PublishedChanges
{
    std::string collection;
    /// Version of the last change before these.
    domain::ConfigVersion after;
    objectstore::ObjectList changes;
    /// The changes are too large for datagrams; only their version is sent.
    bool isOmitted = false;
    /// When the store last proved the publisher's copy; now if empty.
    std::optional<domain::TimePoint> provenAt = std::nullopt;
};

/// Splits changes into messages that each fit a datagram; empty when an object is too large or too
/// many parts are needed.
std::vector<protocol::StoreChanges> splitChanges(const PublishedChanges &published);

/// Reassembles changes from their parts.
///
/// Load pattern: new weights reach all engines within seconds, and each engine's object in the
/// store changes several times; a batch of changes is then far larger than a datagram.
class StoreUpdateAssembler
{
public:
    /// Returns the complete changes when their last part arrives. Parts may arrive in any order and
    /// more than once.
    std::optional<PublishedChanges> add(const protocol::StoreChanges &part, domain::TimePoint now);

private:
    struct Partial
    {
        std::map<std::uint32_t, protocol::StoreChanges> parts;
        domain::TimePoint at;
    };
    using Key
            = std::tuple<std::string, domain::ConfigVersion, domain::ConfigVersion, std::uint32_t>;

    std::map<Key, Partial> m_partials;
};

} // namespace oriolerill::relay::internal
