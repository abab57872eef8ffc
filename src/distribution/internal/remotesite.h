#pragma once

#include "distribution/havemap.h"
#include "distribution/internal/sourcetable.h"
#include "distribution/swarmsite.h"
#include "protocol/control.pb.h"

#include <optional>
#include <vector>

namespace oriolerill::distribution::internal {

/// A tracker's state of one version in another data centre, from the replies of its tracker.
class RemoteSite
{
public:
    RemoteSite(SwarmSite site, domain::TimePoint now);

    const SwarmSite &site() const { return m_site; }
    /// Chunks that at least one known holder has.
    const HaveMap &available() const { return m_available; }
    void resize(std::size_t chunks) { m_available = HaveMap(chunks); }

    void applyReply(const protocol::HaveReply &reply, std::size_t chunks, SourceTable &sources,
            domain::TimePoint now);
    void recordFailure() { ++m_failures; }

    bool isUnreachable(domain::TimePoint now) const;
    /// Whether the data centre has replied without any endpoint for some seconds.
    bool isWithoutEndpoints(domain::TimePoint now) const;
    bool isStalled(domain::TimePoint now, domain::Duration limit) const;

    /// The usable holder with the lowest load. The rotation sets where the search starts, so that
    /// equal holders are used in turn.
    std::optional<SourceTable::Index> pick(std::size_t chunk, const SourceTable &sources,
            std::size_t rotation, domain::TimePoint now) const;
    /// Counts a fetch from a holder, so that fetches are spread over the holders.
    void recordFetch(SourceTable::Index source);
    std::optional<SourceTable::Index> pickForManifest(
            const SourceTable &sources, std::size_t rotation, domain::TimePoint now) const;

    domain::TimePoint nextQuery;
    /// Whether routes avoid this data centre.
    bool isExcluded = false;

private:
    struct Holder
    {
        SourceTable::Index source = 0;
        HaveMap have;
        domain::TimePoint receivedAt;
        std::size_t fetchCount = 0;
    };

    void applyHolder(const protocol::HaveHolder &holder, std::size_t chunks, SourceTable &sources,
            domain::TimePoint now);

    SwarmSite m_site;
    HaveMap m_available;
    std::vector<Holder> m_holders;
    domain::TimePoint m_lastReply;
    domain::TimePoint m_lastProgress;
    domain::TimePoint m_lastNonEmpty;
    int m_failures = 0;
};

} // namespace oriolerill::distribution::internal
