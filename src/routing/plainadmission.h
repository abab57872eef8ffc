#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "routing/callerrequest.h"

#include <map>
#include <optional>
#include <vector>

namespace oriolerill::routing {

struct PlainAdmissionOptions
{
    /// Usual service time in milliseconds until answers have shown it, and bounds on it.
    double startRunMs = 40;
    double minRunMs = 1;
    double maxRunMs = 10000;
    /// Weight of the newest sample in the usual service time. A sample counts at most as this
    /// multiple of the estimate, and at least as its inverse, so that one outlier changes the
    /// estimate by a tenth at most.
    double weight = 0.1;
    double maxSampleRatio = 2;
    /// A request is refused if its answer is expected after this share of the time left until its
    /// deadline. The rest covers the transit and a VM that becomes slow meanwhile.
    double deadlineShare = 0.8;
    /// Bound on a stated slowness, as in EndpointLoadOptions.
    double maxSlowness = 20;
    /// Requests for each slot that an endpoint lets wait before it sheds, until one states a longer
    /// queue; stated by the operators (24 for 6 slots), as answers do not contain it.
    double queuePerSlot = 4;
    /// While requests to a service are refused, one is admitted this often, so that a wrong
    /// estimate ends. As long as reported loads remain valid; with 62 entries a tenth of the
    /// capacity of 18 slots at 30 ms.
    domain::Duration probeInterval = std::chrono::milliseconds(1000);
};

/// Load of one plain endpoint as known to this entry.
struct PlainLoad
{
    double slots = 1;
    /// Requests that run or wait there, including the entry's own since the endpoint stated it.
    double occupancy = 0;
    /// The entry's own requests without an answer.
    double inFlight = 0;
    /// Present duration of work relative to the usual one.
    double slowness = 1;
    /// Age of the stated load; zero when none is known.
    domain::Duration age = domain::Duration::zero();
};

/// Estimates the service time of services without an engine, and refuses requests that cannot be
/// answered in time.
///
/// Handles bursts at a few endpoints with short queues, of which some are slow at times: a queue
/// that outlasts the callers' deadlines would produce only late answers. Applies to services whose
/// endpoints state their load. Not safe for concurrent use.
class PlainAdmission
{
public:
    explicit PlainAdmission(PlainAdmissionOptions options = {});

    /// A successful answer that stated this load arrived this long after the request was sent;
    /// queuedRuns is the queue ahead of the request when it was sent.
    void onAnswer(const domain::ServiceId &service, const AnswerLoad &load,
            domain::Duration elapsed, double queuedRuns);
    /// Usual service time in milliseconds.
    double runMs(const domain::ServiceId &service) const;
    /// Queue ahead of a request that is sent now, in service times at the endpoint.
    double queuedRuns(const domain::ServiceId &service, const PlainLoad &load) const;
    /// The endpoint is expected to shed a request that is sent now.
    bool isShedding(const domain::ServiceId &service, const PlainLoad &load) const;
    /// Milliseconds until a request is likely to be admitted, if one with this much time left must
    /// be refused at all of these endpoints; none when it is admitted.
    std::optional<double> refuse(const domain::ServiceId &service,
            const std::vector<PlainLoad> &loads, domain::Duration timeLeft, domain::TimePoint now);
    /// Usual service times that were learned, in milliseconds.
    std::map<domain::ServiceId, double> learnedRunMs() const;

private:
    struct Service
    {
        double runMs = 0;
        /// Longest queue for each slot that endpoints have accepted.
        double queuePerSlot = 0;
        std::optional<domain::TimePoint> probedAt;
    };

    PlainAdmissionOptions m_options;
    /// Services whose endpoints state their load.
    std::map<domain::ServiceId, Service> m_services;
};

} // namespace oriolerill::routing
