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
    /// Bound on the quiet that an endpoint may ask for; a longer one is more likely a fault of the
    /// endpoint than its wish.
    domain::Duration longestQuiet = std::chrono::minutes(5);
    /// A notice of leaving is passed on to other entries for this long.
    domain::Duration toldTime = std::chrono::seconds(10);
    /// Notices that are passed on at most, the newest ones; they share a datagram.
    std::size_t mostTold = 16;
    /// Endpoints whose notices are kept; the oldest make way.
    std::size_t mostKept = 4096;
};

enum class BackoffVerdict {
    Applied,
    /// The time was longer than the bound.
    Shortened,
    /// No time that could be heeded.
    Ignored,
};

/// What endpoints say in their answers about themselves: that they are leaving, or that they want
/// no requests for a while. It holds whatever the platform's list says, until the same endpoint
/// has another instance. Not safe for concurrent use.
class EndpointNotices
{
public:
    explicit EndpointNotices(EndpointNoticesOptions options = {});

    /// True when it was not known yet.
    bool onLeaving(const EndpointInstance &instance, domain::TimePoint now);
    bool isLeaving(const ListedEndpoint &endpoint) const;
    /// Those that other entries should hear of.
    std::vector<EndpointInstance> recentlyLeaving(domain::TimePoint now) const;

    /// The endpoint wants no requests for so many seconds.
    BackoffVerdict onBackoff(
            const EndpointInstance &instance, double seconds, domain::TimePoint now);
    /// End of the endpoint's quiet time; none when it may get requests.
    std::optional<domain::TimePoint> backoffUntil(
            const ListedEndpoint &endpoint, domain::TimePoint now) const;

private:
    struct Notice
    {
        std::uint64_t startedAtMs = 0;
        domain::TimePoint at;
        std::optional<domain::TimePoint> leavingSince;
        domain::TimePoint backoffUntil;
    };

    /// The notice of this instance; one of an earlier instance is dropped.
    Notice &noticeOf(const EndpointInstance &instance, domain::TimePoint now);
    const Notice *find(const ListedEndpoint &endpoint) const;
    void forgetOldest();

    EndpointNoticesOptions m_options;
    std::map<domain::EndpointId, Notice> m_notices;
};

} // namespace oriolerill::routing
