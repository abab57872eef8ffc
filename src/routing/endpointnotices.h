#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "routing/endpointinstance.h"
#include "routing/endpointlist.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace oriolerill::routing {

struct EndpointNoticesOptions
{
    /// Maximum backoff that an endpoint may ask for; a longer one is more likely an error of the
    /// endpoint.
    domain::Duration maxBackoff = std::chrono::minutes(5);
    /// A notice of leaving is published to other entries for this long.
    domain::Duration publishTime = std::chrono::seconds(10);
    /// Maximum number of notices published, the newest first; they share a datagram.
    std::size_t maxPublished = 16;
    /// Maximum number of notices kept; the oldest are evicted first.
    std::size_t maxKept = 4096;
};

enum class BackoffVerdict {
    Applied,
    /// The requested time was longer than the maximum.
    Shortened,
    /// The value is not a valid time.
    Ignored,
};

/// Notices that endpoints give in their answers: that they are leaving, or a backoff, a time for
/// which they ask for no requests. A notice takes precedence over the platform's list, until the
/// endpoint has another instance. Not safe for concurrent use.
class EndpointNotices
{
public:
    explicit EndpointNotices(EndpointNoticesOptions options = {});

    /// Records that the instance is leaving; true when that was not known yet.
    bool onLeaving(const EndpointInstance &instance, domain::TimePoint now);
    bool isLeaving(const ListedEndpoint &endpoint) const;
    /// Instances whose notices of leaving are to be published, the newest first.
    std::vector<EndpointInstance> recentlyLeaving(domain::TimePoint now) const;

    /// The endpoint asks for no requests for this many seconds.
    BackoffVerdict onBackoff(
            const EndpointInstance &instance, double seconds, domain::TimePoint now);
    /// End of the endpoint's backoff; none when it may get requests.
    std::optional<domain::TimePoint> backoffUntil(
            const ListedEndpoint &endpoint, domain::TimePoint now) const;

private:
    struct Notice
    {
        std::uint64_t startedAtMs = 0;
        domain::TimePoint updatedAt;
        std::optional<domain::TimePoint> leavingSince;
        domain::TimePoint backoffUntil;
    };

    /// The notice of this instance; that of an earlier instance is removed.
    Notice &noticeOf(const EndpointInstance &instance, domain::TimePoint now);
    const Notice *find(const ListedEndpoint &endpoint) const;
    void evictOldest();

    EndpointNoticesOptions m_options;
    std::map<domain::EndpointId, Notice> m_notices;
};

} // namespace oriolerill::routing
