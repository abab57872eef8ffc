#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"

#include <deque>
#include <map>

namespace oriolerill::routing {

struct ColdAllowanceOptions
{
    /// Share of the operator's bound that all entries together use; the rest covers an entry that
    /// the others do not know yet.
    double usedShare = 0.75;
    /// Window in which requests are counted; longer than the operator's second because requests
    /// that were sent at different times may arrive together.
    domain::Duration window = std::chrono::milliseconds(1100);
};

/// This entry's part of the requests that a cold endpoint bears.
///
/// Load pattern: an endpoint returns empty-handed in the middle of a busy day, and every entry sees
/// its free places at once. The bound holds for all entries together, without a coordinator,
/// because each keeps to its own part. Not safe for concurrent use.
class ColdAllowance
{
public:
    explicit ColdAllowance(ColdAllowanceOptions options = {});

    /// Whether a request may be sent to the cold endpoint now. The bound is in requests a second
    /// over all entries; entries is how many share it.
    bool hasRoom(const domain::EndpointId &endpoint, double bound, std::size_t entries,
            domain::TimePoint now);
    void onSent(const domain::EndpointId &endpoint, domain::TimePoint now);

private:
    ColdAllowanceOptions m_options;
    std::map<domain::EndpointId, std::deque<domain::TimePoint>> m_sent;
};

} // namespace oriolerill::routing
