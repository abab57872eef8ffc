#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "routing/requestpath.h"

#include <cstddef>
#include <map>
#include <optional>

namespace oriolerill::routing {

struct BoundedStartsOptions
{
    /// Data centre of this entry.
    domain::DataCentreId dataCentre;
    RequestPathOptions path;
    /// Longest delay assumed on a path to another data centre that a recent answer has proven: the
    /// link may begin to hold requests before the next answer is missing. Full links between
    /// regions have held requests for up to 2.05 s.
    domain::Duration provenDelay = std::chrono::milliseconds(2050);
    /// The same on a path that no recent answer has proven. Together with the margin of a
    /// withdrawal, half of the operator's bound on versions.
    domain::Duration unprovenDelay = std::chrono::milliseconds(3500);
    /// A delay that is in progress is assumed to last as long again as it has lasted.
    int overdueFactor = 2;
    /// Number of engines above which those without recent requests are removed.
    std::size_t maxEngines = 1024;
};

/// Whether a request that is sent now begins at its engine by a deadline.
///
/// The bytes of a request on a full link cannot be recalled, so a request that may begin too late
/// must not be sent. Delays are estimated from the answers to earlier requests: to the same engine,
/// whose VM has a link of its own, and to other data centres, whose links all requests share. Not
/// safe for concurrent use.
class BoundedStarts
{
public:
    explicit BoundedStarts(BoundedStartsOptions options);

    /// An engine and the data centre in which it runs.
    struct Target
    {
        domain::EndpointId engine;
        domain::DataCentreId dataCentre;
    };

    void onSent(const Target &target, domain::TimePoint sentAt, domain::TimePoint expectedAt);
    /// The answer to the request sent at this time has begun.
    void onAnswered(const Target &target, domain::TimePoint sentAt);
    /// The request sent at this time has ended before its answer began.
    void onEnded(const Target &target, domain::TimePoint sentAt, domain::TimePoint now);

    /// This process received nothing for this long.
    void onPaused(domain::Duration time);
    /// The VM was suspended for a time that the clock did not count.
    void onSuspended(domain::Duration time);

    /// Whether a request that takes this long to begin, if nothing delays it, begins by the
    /// deadline.
    bool isInTime(const Target &target, domain::Duration expectedStart, domain::TimePoint deadline,
            domain::TimePoint now) const;
    /// Number of engines of which evidence is kept.
    std::size_t engineCount() const { return m_engines.size(); }

private:
    bool isRemote(const Target &target) const;
    void removeUnused(domain::TimePoint now);

    BoundedStartsOptions m_options;
    std::map<domain::EndpointId, RequestPath> m_engines;
    std::map<domain::DataCentreId, RequestPath> m_dataCentres;
};

} // namespace oriolerill::routing
