#include "routing/endpointnotices.h"

#include <algorithm>
#include <cmath>

namespace oriolerill::routing {

EndpointNotices::EndpointNotices(EndpointNoticesOptions options)
    : m_options(options)
{}

EndpointNotices::Notice &EndpointNotices::noticeOf(
        const EndpointInstance &instance, domain::TimePoint now)
{
    const auto known = m_notices.find(instance.id);
    if (known == m_notices.end() && m_notices.size() >= m_options.mostKept)
        forgetOldest();
    Notice &notice = m_notices[instance.id];
    if (!isSameStart(notice.startedAtMs, instance.startedAtMs))
        notice = {};
    notice.startedAtMs = std::max(notice.startedAtMs, instance.startedAtMs);
    notice.at = now;
    return notice;
}

void EndpointNotices::forgetOldest()
{
    const auto oldest = std::min_element(m_notices.begin(), m_notices.end(),
            [](const auto &a, const auto &b) { return a.second.at < b.second.at; });
    if (oldest != m_notices.end())
        m_notices.erase(oldest);
}

const EndpointNotices::Notice *EndpointNotices::find(const ListedEndpoint &endpoint) const
{
    const auto known = m_notices.find(endpoint.id);
    const bool isSame = known != m_notices.end()
            && isSameStart(known->second.startedAtMs, endpoint.startedAtMs);
    return isSame ? &known->second : nullptr;
}

bool EndpointNotices::onLeaving(const EndpointInstance &instance, domain::TimePoint now)
{
    const auto known = m_notices.find(instance.id);
    // A late answer of an instance that has been replaced says nothing about its successor.
    if (known != m_notices.end() && instance.startedAtMs != 0
            && instance.startedAtMs < known->second.startedAtMs)
        return false;
    Notice &notice = noticeOf(instance, now);
    if (notice.leavingSince)
        return false;
    notice.leavingSince = now;
    return true;
}

bool EndpointNotices::isLeaving(const ListedEndpoint &endpoint) const
{
    const Notice *notice = find(endpoint);
    return notice != nullptr && notice->leavingSince;
}

std::vector<EndpointInstance> EndpointNotices::recentlyLeaving(domain::TimePoint now) const
{
    std::vector<std::pair<domain::TimePoint, EndpointInstance>> recent;
    for (const auto &[id, notice] : m_notices) {
        if (notice.leavingSince && now - *notice.leavingSince <= m_options.toldTime)
            recent.push_back({*notice.leavingSince, {id, notice.startedAtMs}});
    }
    std::sort(recent.begin(), recent.end(),
            [](const auto &a, const auto &b) { return a.first > b.first; });
    if (recent.size() > m_options.mostTold)
        recent.resize(m_options.mostTold);
    std::vector<EndpointInstance> instances;
    instances.reserve(recent.size());
    for (auto &[since, instance] : recent)
        instances.push_back(std::move(instance));
    return instances;
}

BackoffVerdict EndpointNotices::onBackoff(
        const EndpointInstance &instance, double seconds, domain::TimePoint now)
{
    if (!std::isfinite(seconds) || seconds < 0)
        return BackoffVerdict::Ignored;
    const double longest = std::chrono::duration<double>(m_options.longestQuiet).count();
    const auto time = std::chrono::duration_cast<domain::Duration>(
            std::chrono::duration<double>(std::min(seconds, longest)));
    Notice &notice = noticeOf(instance, now);
    notice.backoffUntil = std::max(notice.backoffUntil, now + time);
    return seconds > longest ? BackoffVerdict::Shortened : BackoffVerdict::Applied;
}

std::optional<domain::TimePoint> EndpointNotices::backoffUntil(
        const ListedEndpoint &endpoint, domain::TimePoint now) const
{
    const Notice *notice = find(endpoint);
    if (notice == nullptr || notice->backoffUntil <= now)
        return std::nullopt;
    return notice->backoffUntil;
}

} // namespace oriolerill::routing
