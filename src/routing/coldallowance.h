#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "routing/entryshare.h"

#include <deque>
#include <map>

namespace oriolerill::routing {

struct ColdAllowanceOptions
{
    /// Share of the operator's bound that all entries together use; the rest covers entries that
    /// are not counted yet.
    double usedShare = 0.75;
    /// Window in which requests are counted; longer than the operator's second because requests
    /// that were sent at different times may arrive together.
    domain::Duration window = std::chrono::milliseconds(1100);
    /// A choice that is neither sent nor abandoned within this time expires. Longer than
    /// AttemptPolicyOptions::choiceLifetime, within which the connection is opened.
    domain::Duration choiceLifetime = std::chrono::milliseconds(1000);
};

/// This entry's part of the request rate that a cold endpoint can take.
///
/// An endpoint returns cold under high load, and every entry sees its free capacity at once. The
/// bound holds over all entries, without a coordinator, because each keeps to its own part. With
/// more entries than requests in the bound a part is less than one request a window; the entries
/// then start one after another in the order of their ranks, because all of them see the endpoint
/// at the same moment. Not safe for concurrent use.
class ColdAllowance
{
public:
    explicit ColdAllowance(ColdAllowanceOptions options = {});

    /// Whether a request may be sent now to an endpoint that is cold until coldUntil. The bound is
    /// in requests a second over all entries.
    bool hasRoom(const domain::EndpointId &endpoint, domain::TimePoint coldUntil, double bound,
            const EntryShare &share, domain::TimePoint now);
    /// Counts a request whose connection is still to be opened.
    void onChosen(const domain::EndpointId &endpoint, domain::TimePoint now);
    void onSent(const domain::EndpointId &endpoint, domain::TimePoint now);
    void onNotSent(const domain::EndpointId &endpoint);

private:
    /// One cold period of an endpoint, as observed by this entry.
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
