#include "routing/startpace.h"

#include "routing/endpointinstance.h"

#include <algorithm>
#include <cmath>

namespace oriolerill::routing {

using domain::Duration;
using domain::EndpointId;
using domain::TimePoint;

namespace {

Duration scaled(Duration time, double factor)
{
    return std::chrono::duration_cast<Duration>(time * factor);
}

double ratio(Duration time, Duration unit)
{
    return std::chrono::duration<double>(time) / std::chrono::duration<double>(unit);
}

} // namespace

StartPace::StartPace(StartPaceOptions options)
    : m_options(options)
{}

void StartPace::onList(const EndpointList &list, const ServingConfig &config, TimePoint now)
{
    const bool isCurrent = m_generation == list.generation() && m_configVersion == config.version();
    if (!m_options.isEnabled || isCurrent || (!m_hasList && list.endpoints().empty()))
        return;
    m_generation = list.generation();
    m_configVersion = config.version();
    for (auto &[id, known] : m_known)
        known.isListed = false;
    for (const auto &[id, endpoint] : list.endpoints()) {
        const auto [entry, isNew] = m_known.try_emplace(id);
        Known &known = entry->second;
        const bool isNewProcess = isNew || !isSameStart(known.startedAtMs, endpoint.startedAtMs);
        const bool isColdAgain = known.coldUntil <= now && now < endpoint.coldUntil;
        const ServiceSpec *service = config.service(endpoint.service);
        known.isListed = true;
        known.isPaced = service != nullptr && service->coldPerSecond > 0;
        known.startedAtMs = endpoint.startedAtMs != 0 ? endpoint.startedAtMs : known.startedAtMs;
        known.coldUntil = endpoint.coldUntil;
        if (!known.isPaced) {
            known.slowStart.reset();
            continue;
        }
        double runMs = m_options.plainRunMs;
        known.slots = std::max<double>(endpoint.slots, 1);
        if (service->engine) {
            known.slots = std::max<double>(service->engine->slots, 1);
            runMs = service->engine->completionIntervalMs() * known.slots;
        }
        constexpr double MsPerSecond = 1000;
        const double implied = service->coldPerSecond * runMs / MsPerSecond;
        known.firstLimit = std::max(
                std::min(implied, known.slots * m_options.maxFirstShare), m_options.minLimit);
        if (m_hasList && (isNewProcess || isColdAgain)) {
            known.coldShare = 1;
            begin(id, known, isNewProcess ? "new_process" : "cold", now);
        }
    }
    m_hasList = true;
    // A process that is listed again after an outage of the store is not new, so endpoints are
    // remembered beyond their removal.
    if (m_known.size() > m_options.maxKnown)
        std::erase_if(m_known, [](const auto &entry) { return !entry.second.isListed; });
}

StartPace::Known *StartPace::find(const EndpointId &endpoint)
{
    const auto known = m_known.find(endpoint);
    return known == m_known.end() || !known->second.isPaced ? nullptr : &known->second;
}

const StartPace::Known *StartPace::find(const EndpointId &endpoint) const
{
    const auto known = m_known.find(endpoint);
    return known == m_known.end() || !known->second.isPaced ? nullptr : &known->second;
}

void StartPace::begin(const EndpointId &endpoint, Known &known, std::string reason, TimePoint now)
{
    const TimePoint startAt = std::max(now, known.coldUntil);
    addEvent(endpoint, known.firstLimit, reason);
    known.slowStart = SlowStart{std::move(reason), known.firstLimit, startAt, startAt, startAt};
}

void StartPace::end(const EndpointId &endpoint, Known &known, const std::string &reason)
{
    addEvent(endpoint, known.slowStart->limit, reason);
    known.slowStart.reset();
}

void StartPace::decrease(
        const EndpointId &endpoint, Known &known, const std::string &reason, TimePoint now)
{
    const bool isCold = now < known.coldUntil;
    if (!isCold && !known.slowStart)
        return;
    if (known.slowStart)
        known.slowStart->troubledAt = std::max(known.slowStart->beganAt, now);
    if (now < known.decreasedAt + m_options.decreaseInterval)
        return;
    known.decreasedAt = now;
    double &level = isCold ? known.coldShare : known.slowStart->limit;
    const double lowest = isCold ? m_options.minColdShare : m_options.minLimit;
    const double before = level;
    level = std::max(level * m_options.decreaseFactor, lowest);
    if (isCold && known.slowStart)
        known.slowStart->limit = std::max(known.firstLimit * level, m_options.minLimit);
    if (level < before)
        addEvent(endpoint, level, reason);
}

void StartPace::update(const EndpointId &endpoint, const EndpointLoad &load, TimePoint now)
{
    Known *known = find(endpoint);
    if (known == nullptr)
        return;
    const std::uint32_t failures = load.failures();
    if (known->troubles != load.troubles())
        decrease(endpoint, *known, failures > 0 ? "failed" : "refused", now);
    known->troubles = load.troubles();
    if (failures == 0 && known->failures >= m_options.failureRun)
        begin(endpoint, *known, "recovered", now);
    known->failures = failures;
    if (known->slowStart && now >= known->coldUntil)
        grow(endpoint, *known, load, now);
}

void StartPace::grow(
        const EndpointId &endpoint, Known &known, const EndpointLoad &load, TimePoint now)
{
    SlowStart &start = *known.slowStart;
    const Duration elapsed = now - start.steppedAt;
    if (elapsed >= m_options.stepTime) {
        start.steppedAt = now;
        const EngineReport *report = load.freshReport(now);
        const bool hasFreeSlots = report != nullptr && report->pace <= m_options.maxPace
                && report->running + report->waiting < known.slots;
        // The growth stops for as long as answers that were late together are counted once.
        const bool isTroubled = start.troubledAt > start.beganAt
                && now < start.troubledAt + m_options.decreaseInterval;
        if (hasFreeSlots && !isTroubled) {
            const Duration step = std::min(elapsed, m_options.stepTime * 2);
            start.limit *= std::exp2(ratio(step, m_options.doublingTime));
        }
    }
    if (start.limit >= known.slots)
        end(endpoint, known, "slots_reached");
    else if (now >= endAt(known))
        end(endpoint, known, "no_lateness");
}

TimePoint StartPace::endAt(const Known &known) const
{
    return std::max(known.slowStart->troubledAt, known.slowStart->beganAt) + m_options.quietTime;
}

void StartPace::onAnswerBegun(
        const EndpointId &endpoint, double expectedMs, TimePoint sentAt, TimePoint now)
{
    Known *known = find(endpoint);
    if (known == nullptr)
        return;
    const auto expected = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(std::max(expectedMs, 0.0)));
    const Duration latest = scaled(expected, m_options.lateFactor) + m_options.lateTolerance;
    if (now - sentAt > latest) {
        // A request that was sent before the start says nothing of the endpoint's present state.
        const bool isOfStart = !known->slowStart || now < known->coldUntil
                || sentAt >= known->slowStart->beganAt;
        if (isOfStart)
            decrease(endpoint, *known, "late", now);
        return;
    }
    if (now < known->coldUntil) {
        known->coldShare = std::min(known->coldShare / m_options.decreaseFactor, 1.0);
        if (known->slowStart) {
            known->slowStart->limit
                    = std::max(known->firstLimit * known->coldShare, m_options.minLimit);
        }
    } else if (known->slowStart && sentAt >= known->slowStart->beganAt) {
        known->slowStart->limit += 1;
    }
}

double StartPace::part(double bound, const EntryShare &share) const
{
    return bound * m_options.usedShare
            / static_cast<double>(std::max<std::size_t>(share.entries, 1));
}

StartPace::Known &StartPace::coldPeriod(
        const EndpointId &endpoint, TimePoint coldUntil, TimePoint now)
{
    Known &known = m_known[endpoint];
    if (known.coldSeenUntil <= now) {
        known.coldSeenAt = now;
        known.coldShare = 1;
        known.usedTurn.reset();
    }
    known.coldSeenUntil = std::max(known.coldSeenUntil, coldUntil);
    return known;
}

double StartPace::coldBound(const EndpointId &endpoint, double bound, const EntryShare &share,
        TimePoint coldUntil, TimePoint now)
{
    if (!m_options.isEnabled)
        return bound;
    const Known &known = coldPeriod(endpoint, coldUntil, now);
    // A longer interval between single requests would move the entry out of its turn.
    return part(bound, share) < 1 ? bound : bound * known.coldShare;
}

/// An entry that lets its turn pass waits for the next: if several entries did and then sent
/// together, they would exceed the bound. A reduced share is applied by leaving out turns.
bool StartPace::hasTurn(const EndpointId &endpoint, double bound, const EntryShare &share,
        TimePoint coldUntil, TimePoint now)
{
    const double allowed = part(bound, share);
    if (!m_options.isEnabled || allowed >= 1 || allowed <= 0)
        return true;
    Known &known = coldPeriod(endpoint, coldUntil, now);
    const Duration period = scaled(m_options.window, 1 / allowed);
    const double before = static_cast<double>(share.rank) / static_cast<double>(share.entries);
    const Duration passed = now - known.coldSeenAt - scaled(period, before);
    if (passed < Duration::zero() || passed % period > m_options.turnLifetime)
        return false;
    known.turn = passed / period;
    return !known.usedTurn
            || static_cast<double>(known.turn - *known.usedTurn)
            >= std::ceil(1 / std::max(known.coldShare, m_options.minColdShare));
}

void StartPace::onColdSent(const EndpointId &endpoint)
{
    if (const auto known = m_known.find(endpoint); known != m_known.end())
        known->second.usedTurn = known->second.turn;
}

bool StartPace::isAtLimit(const EndpointId &endpoint, const EndpointLoad &load,
        const EntryShare &share, TimePoint now) const
{
    const Known *known = find(endpoint);
    if (known == nullptr || !known->slowStart || now < known->coldUntil || now >= endAt(*known))
        return false;
    const double room = known->slowStart->limit - load.occupancy(now);
    if (room <= 0)
        return true;
    const EngineReport *report = load.freshReport(now);
    if (report == nullptr || report->sequence == 0 || load.sentSinceReport() < report->grant)
        return false;
    // All entries see the same room until the next report. As many of them as it has places may
    // each send one request beyond their grants; which ones changes with each report.
    const std::uint64_t entries = std::max<std::uint64_t>(share.entries, 1);
    const auto places = static_cast<std::uint64_t>(std::ceil(room));
    const std::uint64_t place = (share.rank + report->sequence * places) % entries;
    if (entries <= places)
        return load.sentSinceReport() >= report->grant + places / entries;
    return place >= places || load.sentSinceReport() > report->grant;
}

std::optional<double> StartPace::limit(const EndpointId &endpoint) const
{
    const Known *known = find(endpoint);
    return known != nullptr && known->slowStart ? std::optional(known->slowStart->limit)
                                                : std::nullopt;
}

std::size_t StartPace::slowStarts(TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(m_known.begin(), m_known.end(), [&](const auto &entry) {
                const Known &known = entry.second;
                return known.isListed && known.slowStart && now < endAt(known);
            }));
}

void StartPace::addEvent(const EndpointId &endpoint, double level, std::string reason)
{
    if (m_events.size() < m_options.maxEvents)
        m_events.push_back({endpoint, level, std::move(reason)});
}

} // namespace oriolerill::routing
