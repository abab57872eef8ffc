#include "routing/endpointload.h"

#include <algorithm>

namespace oriolerill::routing {

EndpointLoad::EndpointLoad(EndpointLoadOptions options)
    : m_options(options)
{}

void EndpointLoad::onReport(const EngineReport &report, domain::TimePoint now)
{
    m_report = report;
    m_reportedAt = now;
    while (!m_sent.empty() && m_sent.front() + m_options.reportLag < now)
        m_sent.pop_front();
}

void EndpointLoad::onAnswerLoad(const AnswerLoad &load, domain::TimePoint now)
{
    if (load.slowness) {
        const double stated
                = std::clamp(*load.slowness, m_options.leastSlowness, m_options.mostSlowness);
        m_slowness = slowness(now) * (1 - m_options.slownessWeight)
                + stated * m_options.slownessWeight;
        m_slownessAt = now;
    }
    // The agent's reports are more frequent than answers; those of plain services have no agent.
    if (hasFreshReport(now) && m_report.sequence > 0)
        return;
    EngineReport report = m_report;
    report.sequence = 0;
    report.running = load.running;
    report.waiting = load.waiting;
    onReport(report, now);
}

double EndpointLoad::slowness(domain::TimePoint now) const
{
    const bool isKnown
            = m_slownessAt != domain::TimePoint() && now - m_slownessAt <= m_options.slownessLife;
    return isKnown ? m_slowness : 1;
}

void EndpointLoad::onSent(domain::TimePoint now)
{
    ++m_inFlight;
    ++m_sentCount;
    m_sent.push_back(now);
}

void EndpointLoad::onEnded()
{
    if (m_inFlight > 0)
        --m_inFlight;
}

void EndpointLoad::onSuccess()
{
    m_failures = 0;
    m_failedShare *= 1 - m_options.failureWeight;
    m_pausedUntil = {};
}

void EndpointLoad::onFailure(domain::TimePoint now)
{
    constexpr std::uint32_t MostDoublings = 6;
    onFailedAnswer();
    const auto pause = m_options.firstPause * (1U << std::min(m_failures, MostDoublings));
    m_pausedUntil = now + std::min<domain::Duration>(pause, m_options.longestPause);
    ++m_failures;
}

void EndpointLoad::onFailedAnswer()
{
    m_failedShare += (1 - m_failedShare) * m_options.failureWeight;
}

void EndpointLoad::onRefused(domain::TimePoint now)
{
    // A refusal shows that places are taken; it is no failure, but the next request goes elsewhere
    // until the endpoint has had time to end one.
    constexpr auto RefusalPause = std::chrono::milliseconds(50);
    m_pausedUntil = std::max(m_pausedUntil, now + RefusalPause);
}

void EndpointLoad::onSuspended(domain::Duration time)
{
    if (m_reportedAt != domain::TimePoint())
        m_reportedAt -= time;
}

bool EndpointLoad::isSwitching(domain::TimePoint now) const
{
    return hasFreshReport(now) && m_report.isSwitching;
}

bool EndpointLoad::isUnresponsive(domain::TimePoint now) const
{
    const bool hasAgent = m_report.sequence > 0;
    return hasAgent && !hasFreshReport(now) && now - m_answeredAt > m_options.answerLife;
}

bool EndpointLoad::hasFreshReport(domain::TimePoint now) const
{
    return m_reportedAt != domain::TimePoint() && now - m_reportedAt <= m_options.reportLife;
}

std::optional<std::uint64_t> EndpointLoad::reportedWeights(domain::TimePoint now) const
{
    if (!hasFreshReport(now) || m_report.sequence == 0)
        return std::nullopt;
    return m_report.weightsVersion;
}

double EndpointLoad::occupancy(domain::TimePoint now) const
{
    if (!hasFreshReport(now))
        return m_inFlight;
    const double reported = m_report.running + m_report.waiting;
    return std::max<double>(m_inFlight, reported + static_cast<double>(m_sent.size()));
}

double EndpointLoad::queueMs(const EngineSpeed &speed, domain::TimePoint now) const
{
    const double queue = occupancy(now) - std::max<double>(speed.slots, 1);
    return std::max(queue, 0.0) * speed.completionIntervalMs();
}

double EndpointLoad::expectedWaitMs(const EngineSpeed &speed, domain::TimePoint now) const
{
    const double slots = std::max<double>(speed.slots, 1);
    double expected = occupancy(now) + 1;
    if (hasFreshReport(now) && m_report.sequence > 0) {
        // What is sent beyond the grant meets what other entries send by the same right: some of
        // them, not all, and at most a quarter of the places, so that an engine with many free
        // places may be used beyond the grant when a burst arrives at one of many entries.
        const double beyond = static_cast<double>(m_sent.size()) + 1 - m_report.grant;
        const double others = std::min(m_report.entries / 2.0, slots / 4);
        expected += std::max(beyond, 0.0) * others;
    }
    const double ahead = expected - slots;
    const double pace = hasFreshReport(now) ? std::max(m_report.pace, 1.0) : 1.0;
    return ahead <= 0 ? 0 : ahead * speed.completionIntervalMs() * pace;
}

double EndpointLoad::expectedStartMs(
        const EngineSpeed &speed, std::uint32_t promptTokens, domain::TimePoint now) const
{
    const double slots = std::max<double>(speed.slots, 1);
    const double writers = std::min(occupancy(now), slots);
    const double stepMs = speed.stepMs + speed.stepMsPerSequence * writers;
    const double readRate = std::max(speed.promptTokensPerMs, 1.0);
    // What was sent since the report is still to be read, one prompt after another.
    const double unread = std::min(static_cast<double>(m_sent.size()) + m_report.waiting, slots);
    const double readMs = (promptTokens + unread * speed.usualPromptTokens) / readRate;
    const double pace = hasFreshReport(now) ? std::max(m_report.pace, 1.0) : 1.0;
    return expectedWaitMs(speed, now) + (stepMs + readMs) * pace;
}

} // namespace oriolerill::routing
