#include "routing/endpointlimits.h"

#include <algorithm>
#include <cmath>

namespace oriolerill::routing {

using domain::Duration;
using domain::TimePoint;

namespace {

Duration seconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

std::int64_t floorOf(Duration time, Duration period)
{
    const std::int64_t whole = time / period;
    return time % period < Duration::zero() ? whole - 1 : whole;
}

} // namespace

EndpointLimits::EndpointLimits(EndpointLimitsOptions options)
    : m_options(options)
{}

EndpointLimits::Limit &EndpointLimits::limitOf(const EndpointInstance &instance)
{
    const auto known = m_limits.find(instance.id);
    if (known == m_limits.end() && m_limits.size() >= m_options.mostKept) {
        m_limits.erase(std::min_element(m_limits.begin(), m_limits.end(),
                [](const auto &a, const auto &b) { return a.second.namedAt < b.second.namedAt; }));
    }
    Limit &limit = m_limits[instance.id];
    if (!isSameStart(limit.startedAtMs, instance.startedAtMs))
        limit = {};
    limit.startedAtMs = std::max(limit.startedAtMs, instance.startedAtMs);
    return limit;
}

const EndpointLimits::Limit *EndpointLimits::find(const ListedEndpoint &endpoint) const
{
    const auto known = m_limits.find(endpoint.id);
    const bool isInForce = known != m_limits.end() && known->second.perSecond > 0
            && isSameStart(known->second.startedAtMs, endpoint.startedAtMs);
    return isInForce ? &known->second : nullptr;
}

LimitVerdict EndpointLimits::onAnswer(const EndpointInstance &instance,
        std::optional<double> perSecond, TimePoint sentAt, TimePoint now)
{
    const auto known = m_limits.find(instance.id);
    const bool isOfEarlierInstance = known != m_limits.end() && instance.startedAtMs != 0
            && instance.startedAtMs < known->second.startedAtMs;
    if (isOfEarlierInstance)
        return LimitVerdict::Unchanged;
    if (!perSecond) {
        // An answer to a request from before the naming may have been on its way meanwhile.
        if (known == m_limits.end() || sentAt < known->second.namedAt)
            return LimitVerdict::Unchanged;
        const bool wasInForce = known->second.perSecond > 0;
        m_limits.erase(known);
        return wasInForce ? LimitVerdict::Ended : LimitVerdict::Unchanged;
    }
    Limit &limit = limitOf(instance);
    limit.namedAt = now;
    if (!std::isfinite(*perSecond) || *perSecond < 0) {
        const bool isFirst = !std::exchange(limit.hasIgnored, true);
        return isFirst ? LimitVerdict::Ignored : LimitVerdict::Unchanged;
    }
    const double rate = std::clamp(*perSecond, m_options.least, m_options.most);
    if (rate == limit.perSecond)
        return LimitVerdict::Unchanged;
    const bool isRaised = limit.perSecond > 0 && rate > limit.perSecond;
    limit.perSecond = rate;
    if (rate != *perSecond)
        return LimitVerdict::Clamped;
    return isRaised ? LimitVerdict::Raised : LimitVerdict::Applied;
}

bool EndpointLimits::onRaised(const EndpointInstance &instance, std::optional<double> perSecond)
{
    const auto known = m_limits.find(instance.id);
    const bool isInForce = known != m_limits.end() && known->second.perSecond > 0
            && isSameStart(known->second.startedAtMs, instance.startedAtMs);
    if (!isInForce)
        return false;
    if (!perSecond) {
        m_limits.erase(known);
        return true;
    }
    if (!std::isfinite(*perSecond) || *perSecond <= known->second.perSecond)
        return false;
    known->second.perSecond = std::min(*perSecond, m_options.most);
    return true;
}

std::optional<double> EndpointLimits::perSecond(const ListedEndpoint &endpoint) const
{
    const Limit *limit = find(endpoint);
    return limit == nullptr ? std::nullopt : std::optional(limit->perSecond);
}

Duration EndpointLimits::period(const Limit &limit, const EntryShare &share) const
{
    const auto entries = static_cast<double>(std::max<std::size_t>(share.entries, 1));
    return std::max(seconds(entries / (limit.perSecond * m_options.usedShare)), Duration(1));
}

TimePoint EndpointLimits::slotAfter(const std::optional<TimePoint> &last, const Limit &limit,
        const EntryShare &share, TimePoint now, Duration mostAhead) const
{
    const Duration period = this->period(limit, share);
    const auto entries = static_cast<std::int64_t>(std::max<std::size_t>(share.entries, 1));
    const Duration phase = period / entries * static_cast<std::int64_t>(share.rank);
    const Duration life
            = m_options.slotLife + seconds(m_options.slotLifeRequests / limit.perSecond);
    const Duration commonNow = now.time_since_epoch() + m_offset;
    std::int64_t slot = floorOf(commonNow - life - phase, period) + 1;
    if (last) {
        const Duration used = last->time_since_epoch() + m_offset;
        // A slot far ahead stems from a time of day that has been set back since.
        if (used <= commonNow + period + mostAhead) {
            // The nearest slot is the used one: the offset is read anew and jitters.
            slot = std::max(slot, floorOf(used - phase + period / 2, period) + 1);
        }
    }
    return TimePoint(slot * period + phase - m_offset);
}

std::optional<TimePoint> EndpointLimits::nextSlot(
        const ListedEndpoint &endpoint, const EntryShare &share, TimePoint now) const
{
    const Limit *limit = find(endpoint);
    if (limit == nullptr)
        return std::nullopt;
    return slotAfter(limit->usedAt, *limit, share, now, Duration::zero());
}

std::optional<TimePoint> EndpointLimits::nextPromise(
        const ListedEndpoint &endpoint, const EntryShare &share, TimePoint now) const
{
    const Limit *limit = find(endpoint);
    if (limit == nullptr)
        return std::nullopt;
    return slotAfter(std::max(limit->usedAt, limit->promisedAt), *limit, share, now,
            m_options.longestPromise);
}

void EndpointLimits::onPromised(
        const ListedEndpoint &endpoint, const EntryShare &share, TimePoint now)
{
    const auto promise = nextPromise(endpoint, share, now);
    if (promise && *promise <= now + m_options.longestPromise)
        m_limits[endpoint.id].promisedAt = promise;
}

void EndpointLimits::onChosen(
        const ListedEndpoint &endpoint, const EntryShare &share, TimePoint now)
{
    if (find(endpoint) == nullptr)
        return;
    Limit &limit = m_limits[endpoint.id];
    limit.usedAt = slotAfter(limit.usedAt, limit, share, now, Duration::zero());
}

void EndpointLimits::onNotSent(const domain::EndpointId &endpoint, const EntryShare &share)
{
    const auto limit = m_limits.find(endpoint);
    if (limit != m_limits.end() && limit->second.usedAt)
        *limit->second.usedAt -= period(limit->second, share);
}

} // namespace oriolerill::routing
