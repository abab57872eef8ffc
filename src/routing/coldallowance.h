#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "routing/entryshare.h"

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
    /// A choice that is neither sent nor given up within this time is forgotten; longer than a
    /// request's choice holds while its connection is opened.
    domain::Duration choiceLifetime = std::chrono::milliseconds(1000);
};

/// This entry's part of the requests that a cold endpoint bears.
///
/// Load pattern: an endpoint returns empty-handed in the middle of a busy day, and every entry sees
/// its free places at once. The bound holds for all entries together, without a coordinator,
/// because each keeps to its own part. With more entries than requests in the bound a part is less
/// than one request a window; the entries then begin one after another in the order of their ranks,
/// because all of them see the endpoint at the same moment. Not safe for concurrent use.
class ColdAllowance
{
public:
    explicit ColdAllowance(ColdAllowanceOptions options = {});

    /// Whether a request may be sent now to an endpoint that is cold until coldUntil. The bound is
    /// in requests a second over all entries.
    bool hasRoom(const domain::EndpointId &endpoint, domain::TimePoint coldUntil, double bound,
            const EntryShare &share, domain::TimePoint now);
    /// Reserves a place for a request whose connection is still to be opened.
    void onChosen(const domain::EndpointId &endpoint, domain::TimePoint now);
    void onSent(const domain::EndpointId &endpoint, domain::TimePoint now);
    void onNotSent(const domain::EndpointId &endpoint);

private:
    /// One time of being cold, as far as this entry has seen it.
    struct Period
    {
        domain::TimePoint startedAt;
        domain::TimePoint coldUntil;
        std::deque<domain::TimePoint> chosen;
        std::deque<domain::TimePoint> sent;
    };

    ColdAllowanceOptions m_options;
    std::map<domain::EndpointId, Period> m_periods;
};

} // namespace oriolerill::routing
