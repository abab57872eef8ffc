#pragma once

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

/// Changes of one collection, as one process tells them to others.
struct PublishedChanges
{
    std::string collection;
    /// Revision of the last change before.
    std::uint64_t after = 0;
    objectstore::ObjectList changes;
    /// The changes are too large to be sent.
    bool isOmitted = false;
};

/// Splits changes into messages that each fit a datagram; empty when one object alone does not, so
/// that receivers notice the gap and read it from the store.
std::vector<protocol::StoreChanges> splitChanges(const PublishedChanges &told);

/// Puts the parts of changes together again.
///
/// Load pattern: new weights reach all engines within seconds, and each engine's entry in the list
/// changes several times; a batch of changes is then far larger than a datagram.
class StoreUpdateAssembler
{
public:
    /// The whole changes once their last part has come; parts may come in any order, and twice.
    std::optional<PublishedChanges> add(const protocol::StoreChanges &part, domain::TimePoint now);

private:
    struct Partial
    {
        std::map<std::uint32_t, protocol::StoreChanges> parts;
        domain::TimePoint at;
    };
    using Key = std::tuple<std::string, std::uint64_t, std::uint64_t, std::uint32_t>;

    std::map<Key, Partial> m_partials;
};

} // namespace oriolerill::relay::internal
