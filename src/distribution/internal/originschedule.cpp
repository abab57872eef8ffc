#include "distribution/originschedule.h"

#include "domain/rendezvous.h"

#include <algorithm>
#include <utility>

namespace oriolerill::distribution {

OriginSchedule::OriginSchedule(
        std::string self, domain::DataCentreId dataCentre, OriginScheduleOptions options)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_options(options)
    , m_random(static_cast<std::uint32_t>(domain::rendezvousWeight("origin", m_self)))
{}

void OriginSchedule::setPlan(std::shared_ptr<const OriginPlan> plan, domain::TimePoint now)
{
    m_plan = std::move(plan);
    if (m_lanes.size() == m_plan->laneCount())
        return;
    m_lanes.assign(m_plan->laneCount(), {});
    for (Lane &lane : m_lanes)
        lane.progressAt = now;
}

void OriginSchedule::observe(const std::vector<OriginTarget> &targets, domain::TimePoint now)
{
    for (std::size_t i = 0; i < m_lanes.size(); ++i) {
        std::map<std::uint64_t, std::size_t> held;
        std::size_t added = 0;
        bool isComplete = true;
        std::pair<std::uint64_t, std::size_t> front;
        Lane &lane = m_lanes[i];
        for (const OriginTarget &target : targets) {
            std::size_t &count = held[target.version];
            for (std::size_t piece = i; piece < target.inFleet.size(); piece += m_lanes.size()) {
                count += target.inFleet.test(piece) ? 1 : 0;
                if (isComplete && !target.inFleet.test(piece)) {
                    isComplete = false;
                    front = {target.version, piece};
                }
            }
            // Pieces of a version that becomes a target now were read at an unknown time before.
            const auto before = lane.held.find(target.version);
            if (before != lane.held.end() && count > before->second)
                added += count - before->second;
        }
        if (added > 0) {
            if (now - m_progressAt > m_options.recentProgress)
                m_progressSince = now;
            m_progressAt = now;
            // Pieces of the lane itself do not show that the origin serves others.
            m_progress += added;
            lane.progressBefore += added;
        }
        // A lane that has just got pieces to read is not stalled yet.
        if (front != lane.front || lane.isComplete || isComplete) {
            lane.progressAt = now;
            lane.progressBefore = m_progress;
        }
        lane.front = front;
        lane.held = std::move(held);
        lane.isComplete = isComplete;
    }
}

domain::Duration OriginSchedule::stallTime() const
{
    // With an origin that is slower than stated, the time-outs have grown beyond a read.
    const domain::Duration readTime = m_timeouts > 0 ? timeout(m_timeouts) : domain::Duration();
    return std::max<domain::Duration>(
            {m_options.minStallTime, m_plan->expectedTime() * m_options.stallFactor, readTime});
}

bool OriginSchedule::isStalled(std::size_t lane, domain::TimePoint now) const
{
    return now - m_lanes[lane].progressAt >= stallTime();
}

/// The time alone says nothing: after an outage of the origin, all lanes have had no piece for as
/// long as it lasted. So the pieces that other lanes have got meanwhile are counted too.
std::size_t OriginSchedule::stalls(std::size_t lane, domain::TimePoint now) const
{
    const auto periods = static_cast<std::size_t>((now - m_lanes[lane].progressAt) / stallTime());
    const std::size_t others = static_cast<std::size_t>(m_progress - m_lanes[lane].progressBefore)
            / (m_lanes.size() * m_options.stallPieces);
    return std::min({periods, others, m_options.maxTakeovers});
}

std::optional<std::size_t> OriginSchedule::position(
        std::size_t lane, const FleetHoldings &holdings, domain::TimePoint now) const
{
    // While others read from the origin, the next VM stands in for one that it does not answer, but
    // the following ones do not: in an outage that has just begun, all of them would try in turn.
    // After an outage, readers whose next request is due soon are not replaced either.
    bool isStandInAllowed = now - m_progressAt <= m_options.recentProgress;
    const auto isGivenUp = [&](const std::string &host) {
        const auto since = std::max(m_progressSince, holdings.originUnreachableSince(host));
        return holdings.isOriginUnreachable(host) && m_progressAt - since >= m_options.standInDelay;
    };
    std::size_t before = 0;
    for (const domain::DataCentreId &dataCentre : m_plan->dataCentres(lane)) {
        if (dataCentre != m_dataCentre) {
            before += holdings.isReachable(dataCentre, now) ? m_options.readersPerDataCentre : 0;
            continue;
        }
        for (const std::string &host : m_plan->readers(lane, m_dataCentre)) {
            if (host == m_self)
                return before;
            if (!holdings.isRunning(host, now))
                continue;
            if (isStandInAllowed && isGivenUp(host))
                isStandInAllowed = false;
            else
                ++before;
        }
        return std::nullopt;
    }
    return std::nullopt;
}

std::vector<std::uint32_t> OriginSchedule::missingPieces(
        const OriginTarget &target, std::size_t lane) const
{
    std::vector<std::uint32_t> missing;
    for (std::size_t piece = lane; piece < target.inFleet.size(); piece += m_lanes.size()) {
        if (!target.inFleet.test(piece))
            missing.push_back(static_cast<std::uint32_t>(piece));
    }
    return missing;
}

std::optional<std::uint32_t> OriginSchedule::missingPiece(
        const OriginTarget &target, std::size_t lane, std::size_t position) const
{
    std::vector<std::uint32_t> missing = missingPieces(target, lane);
    if (position > 0) {
        // From the end, so that the reader of the lane is met only once.
        std::reverse(missing.begin(), missing.end());
        const std::size_t first = std::min(position - 1, missing.empty() ? 0 : missing.size() - 1);
        std::rotate(missing.begin(), missing.begin() + static_cast<std::ptrdiff_t>(first),
                missing.end());
    }
    for (const std::uint32_t piece : missing) {
        if (!target.inFlight.test(piece))
            return piece;
    }
    return std::nullopt;
}

/// Pieces from the end of the lane that misses most, while its reader goes on at the front. Each is
/// left to one of the readers that may help, so that two of them do not read the same piece; while
/// the lane is stalled, to another one after some time. Few missing pieces are left to the reader
/// of the lane unless it is stalled.
std::optional<std::uint32_t> OriginSchedule::helpedPiece(
        const OriginTarget &target, std::size_t lane, domain::TimePoint now) const
{
    std::vector<std::uint32_t> most;
    std::size_t mostLane = lane;
    for (std::size_t other = 0; other < m_lanes.size(); ++other) {
        std::vector<std::uint32_t> missing = missingPieces(target, other);
        const bool isUsable = isStalled(other, now) || missing.size() >= m_options.minHelpedPieces;
        if (other != lane && isUsable && missing.size() > most.size()) {
            most = std::move(missing);
            mostLane = other;
        }
    }
    const auto turn = isStalled(mostLane, now)
            ? static_cast<std::size_t>((now - m_lanes[mostLane].progressAt) / (stallTime() / 2))
            : 0;
    for (auto piece = most.rbegin(); piece != most.rend(); ++piece) {
        const bool isOwn = (*piece / m_lanes.size() + turn) % m_lanes.size() == lane;
        if (isOwn && !target.inFlight.test(*piece))
            return *piece;
    }
    return std::nullopt;
}

std::optional<OriginRead> OriginSchedule::next(const std::vector<OriginTarget> &targets,
        const FleetHoldings &holdings, domain::TimePoint now)
{
    if (!m_plan)
        return std::nullopt;
    observe(targets, now);
    // While the origin does not answer, one request at a time tests whether it does.
    const std::size_t maxInFlight = isUnreachable() ? 1 : m_options.maxInFlight;
    if (m_inFlight >= maxInFlight || isBackingOff(now))
        return std::nullopt;
    for (const OriginTarget &target : targets) {
        for (std::size_t lane = 0; lane < m_lanes.size(); ++lane) {
            if (m_lanes[lane].isInFlight)
                continue;
            const auto own = position(lane, holdings, now);
            if (!own || *own > stalls(lane, now))
                continue;
            const auto missing = missingPiece(target, lane, *own);
            const auto piece = missing || *own > 0 ? missing : helpedPiece(target, lane, now);
            if (!piece)
                continue;
            m_lanes[lane].isInFlight = true;
            ++m_inFlight;
            m_takeovers += *own > 0 ? 1 : 0;
            return OriginRead{target.version, *piece, m_plan->laneOf(*piece), lane, now,
                    now + timeout(m_timeouts)};
        }
    }
    return std::nullopt;
}

domain::Duration OriginSchedule::timeout(std::uint32_t timeouts) const
{
    constexpr std::uint32_t MaxDoublings = 4;
    const domain::Duration first = std::max<domain::Duration>(
            m_options.minTimeout, m_plan->expectedTime() * m_options.timeoutFactor);
    const auto longest = std::max<domain::Duration>(first, m_options.maxTimeout);
    return std::min(longest, first * (1 << std::min(timeouts, MaxDoublings)));
}

void OriginSchedule::onEnd(const OriginRead &read, FetchEnd end, domain::TimePoint now)
{
    --m_inFlight;
    if (read.usedLane < m_lanes.size())
        m_lanes[read.usedLane].isInFlight = false;
    switch (end) {
    case FetchEnd::Stored:
        // Kept while the origin is slow: with the first time-out again, the next read would be
        // aborted and repeated.
        while (m_timeouts > 0 && (now - read.startedAt) * 2 < timeout(m_timeouts - 1))
            --m_timeouts;
        onAnswer(true, now);
        break;
    case FetchEnd::Corrupted:
        // The next answer may be correct.
        onAnswer(true, now);
        break;
    case FetchEnd::TimedOut:
        ++m_timeouts;
        onAnswer(false, now);
        break;
    case FetchEnd::Absent:
    case FetchEnd::Failed:
        onAnswer(false, now);
        break;
    }
}

void OriginSchedule::onAnswer(bool isAnswered, domain::TimePoint now)
{
    if (isAnswered) {
        m_failures = 0;
        m_retryAt = {};
        return;
    }
    constexpr std::uint32_t MaxDoublings = 8;
    const auto backoff = std::min<domain::Duration>(m_options.maxBackoff,
            m_options.minBackoff * (1U << std::min(m_failures, MaxDoublings)));
    // Readers that failed at the same moment must not return at the same moment.
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    m_retryAt = now + std::chrono::duration_cast<domain::Duration>(backoff * jitter(m_random));
    ++m_failures;
}

bool OriginSchedule::isManifestReader(const FleetHoldings &holdings, domain::TimePoint now) const
{
    if (!m_plan)
        return false;
    for (const std::string &host : m_plan->readers(0, m_dataCentre)) {
        if (host == m_self)
            return true;
        if (holdings.isRunning(host, now))
            return false;
    }
    return false;
}

} // namespace oriolerill::distribution
