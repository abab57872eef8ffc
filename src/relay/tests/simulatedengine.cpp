#include "relay/tests/simulatedengine.h"

#include <algorithm>
#include <cmath>

namespace oriolerill::relay {

using namespace std::chrono_literals;
using domain::Duration;
using domain::TimePoint;

namespace {

/// From leaving the queue to the first token, with which a request begins.
constexpr auto PromptTime = 30ms;
constexpr auto RunTime = 300ms;
/// Running requests at an engine without a queue.
constexpr std::uint32_t IdleRunning = 3;

} // namespace

routing::EngineSpeed SimulatedEngine::speed()
{
    return {16, 6.73, 0.0219, 30.6, 964, 119};
}

domain::EndpointId SimulatedEngine::id() const
{
    return domain::EndpointId("e" + std::to_string(m_options.number));
}

domain::SocketAddress SimulatedEngine::address() const
{
    return {"10.0.0." + std::to_string(m_options.number + 1), 80};
}

routing::ListedEndpoint SimulatedEngine::listedAt(TimePoint time) const
{
    routing::ListedEndpoint endpoint;
    endpoint.id = id();
    endpoint.service = domain::ServiceId("models");
    endpoint.address = address();
    endpoint.dataCentre = domain::DataCentreId(m_options.dataCentre);
    endpoint.slots = speed().slots;
    endpoint.weights[model()] = versionAt(time);
    return endpoint;
}

routing::EngineReport SimulatedEngine::reportAt(TimePoint time) const
{
    const TimePoint at = time - m_options.reportLag;
    const double queueMs = std::chrono::duration<double, std::milli>(queueAt(at)).count();
    routing::EngineReport report;
    report.weightsVersion = versionAt(at);
    report.running = queueMs > 0 ? speed().slots : IdleRunning;
    // The request that is sent counts as one more.
    const long waiting = std::lround(queueMs / speed().completionIntervalMs()) - 1;
    report.waiting = static_cast<std::uint32_t>(std::max(waiting, 0L));
    report.grant = speed().slots;
    report.entries = 8;
    return report;
}

std::uint64_t SimulatedEngine::versionAt(TimePoint time) const
{
    const auto next = m_options.versions.upper_bound(time);
    return next == m_options.versions.begin() ? 0 : std::prev(next)->second;
}

Duration SimulatedEngine::queueAt(TimePoint time) const
{
    return m_options.queue + (time >= m_options.growsAt ? m_options.growth : Duration::zero());
}

TimePoint SimulatedEngine::arrivalOf(TimePoint sentAt)
{
    const Link &link = m_options.link;
    TimePoint arrival = sentAt + link.transit;
    if (link.holdsFrom && arrival >= *link.holdsFrom) {
        if (link.isLasting)
            arrival += link.holdTime;
        else
            arrival = std::max(arrival, *link.holdsFrom + link.holdTime);
    }
    // Bytes do not overtake each other.
    m_lastArrival = std::max(m_lastArrival, arrival);
    return m_lastArrival;
}

void SimulatedEngine::send(std::uint64_t request, Duration timeGiven,
        std::optional<std::uint64_t> expectedVersion, TimePoint now)
{
    const TimePoint arrival = arrivalOf(now);
    const bool isOther = expectedVersion && *expectedVersion != versionAt(arrival);
    Request queued{arrival + queueAt(arrival) + PromptTime, isOther ? arrival : arrival + timeGiven,
            TimePoint::max(), TimePoint::max(), false};
    if (m_options.growsAt > arrival && m_options.growsAt < queued.beginsAt)
        queued.beginsAt += m_options.growth;
    m_requests.emplace(request, queued);
}

void SimulatedEngine::close(std::uint64_t request, TimePoint now)
{
    const TimePoint arrival = arrivalOf(now);
    const auto queued = m_requests.find(request);
    if (queued != m_requests.end() && m_options.isCloseHonoured)
        queued->second.closedAt = std::min(queued->second.closedAt, arrival);
}

std::vector<SimulatedEngine::Event> SimulatedEngine::advance(TimePoint now)
{
    std::vector<Event> events;
    for (auto entry = m_requests.begin(); entry != m_requests.end();) {
        auto &[number, request] = *entry;
        const TimePoint nextAt = request.hasBegun ? request.completedAt
                                                  : std::min(request.beginsAt, request.refusedAt);
        const bool isClosed = request.closedAt <= nextAt && request.closedAt <= now;
        if (!isClosed && nextAt > now) {
            ++entry;
            continue;
        }
        const bool isBeginning = !isClosed && !request.hasBegun && nextAt == request.beginsAt
                && nextAt < request.refusedAt;
        if (isBeginning) {
            events.push_back({number, EventKind::Begun, nextAt, versionAt(nextAt)});
            request.hasBegun = true;
            request.completedAt = nextAt + RunTime;
            ++entry;
            continue;
        }
        if (!isClosed) {
            const EventKind kind = request.hasBegun ? EventKind::Completed : EventKind::Refused;
            events.push_back({number, kind, nextAt, 0});
        }
        entry = m_requests.erase(entry);
    }
    return events;
}

} // namespace oriolerill::relay
