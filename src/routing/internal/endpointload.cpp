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
                = std::clamp(*load.slowness, m_options.minSlowness, m_options.maxSlowness);
        // Without recent values before it, a value counts in full.
        const double before
                = (1 - m_options.slownessWeight) * m_slownessWeight * slownessShare(now);
        const double known = before + m_options.slownessWeight;
        m_slowness += (stated - m_slowness) * m_options.slownessWeight / known;
        m_slownessWeight = known;
        m_slownessAt = now;
    }
    // Agents' reports are more frequent than answers; endpoints of plain services have no agent.
    if (hasFreshReport(now) && m_report.sequence > 0)
        return;
    EngineReport report = m_report;
    report.sequence = 0;
    report.running = load.running;
    report.waiting = load.waiting;
    onReport(report, now);
}

double EndpointLoad::slownessShare(domain::TimePoint now) const
{
    if (m_slownessAt == domain::TimePoint())
        return 0;
    const std::chrono::duration<double> age = now - m_slownessAt;
    return std::clamp(1 - age / m_options.slownessLifetime, 0.0, 1.0);
}

double EndpointLoad::pace(domain::TimePoint now) const
{
    return hasFreshReport(now) ? std::max(m_report.pace, 1.0) : 1.0;
}

double EndpointLoad::slowness(domain::TimePoint now) const
{
    return 1 + (m_slowness - 1) * slownessShare(now);
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
    m_retryAt = {};
}

void EndpointLoad::onFailure(domain::TimePoint now)
{
    constexpr std::uint32_t MaxDoublings = 6;
    onFailedAnswer();
    const auto delay = m_options.minFailureDelay * (1U << std::min(m_failures, MaxDoublings));
    m_retryAt = now + std::min<domain::Duration>(delay, m_options.maxFailureDelay);
    ++m_failures;
}

void EndpointLoad::onFailedAnswer()
{
    ++m_troubles;
    m_failedShare += (1 - m_failedShare) * m_options.failureWeight;
}

void EndpointLoad::onRefused(domain::TimePoint now)
{
    // A refusal means that all slots are taken. It is not a failure, but the next requests go
    // elsewhere until the endpoint has had time to complete one.
    constexpr auto RefusalDelay = std::chrono::milliseconds(50);
    ++m_troubles;
    m_retryAt = std::max(m_retryAt, now + RefusalDelay);
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
    return hasAgent && !hasFreshReport(now) && now - m_answeredAt > m_options.answerLifetime;
}

bool EndpointLoad::hasFreshReport(domain::TimePoint now) const
{
    return m_reportedAt != domain::TimePoint() && now - m_reportedAt <= m_options.reportLifetime;
}

std::optional<std::uint64_t> EndpointLoad::reportedWeights(domain::TimePoint now) const
{
    if (!hasFreshReport(now) || m_report.sequence == 0)
        return std::nullopt;
    return m_report.weightsVersion;
}

std::optional<std::uint32_t> EndpointLoad::reportedWaiting(domain::TimePoint now) const
{
    if (!hasFreshReport(now))
        return std::nullopt;
    return m_report.waiting;
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
    return std::max(queue, 0.0) * speed.completionIntervalMs() * pace(now);
}

double EndpointLoad::expectedWaitMs(const EngineSpeed &speed, domain::TimePoint now) const
{
    const double slots = std::max<double>(speed.slots, 1);
    double expected = occupancy(now) + 1;
    if (hasFreshReport(now) && m_report.sequence > 0) {
        // Requests beyond the grant compete with those that other entries send beyond theirs. Half
        // of the entries are assumed to do so, but at most a quarter of the slots, so that an
        // engine with many free slots can be used beyond the grant when a burst arrives at one of
        // many entries.
        const double beyondGrant = static_cast<double>(m_sent.size()) + 1 - m_report.grant;
        const double competing = std::min(m_report.entries / 2.0, slots / 4);
        expected += std::max(beyondGrant, 0.0) * competing;
    }
    const double ahead = expected - slots;
    return ahead <= 0 ? 0 : ahead * speed.completionIntervalMs() * pace(now);
}

double EndpointLoad::expectedStartMs(
        const EngineSpeed &speed, std::uint32_t promptTokens, domain::TimePoint now) const
{
    const double slots = std::max<double>(speed.slots, 1);
    const double sequences = std::min(occupancy(now), slots);
    const double stepMs = speed.stepMs + speed.stepMsPerSequence * sequences;
    const double promptRate = std::max(speed.promptTokensPerMs, 1.0);
    // The prompts sent since the report are still to be processed, one after another.
    const double unprocessedPrompts
            = std::min(static_cast<double>(m_sent.size()) + m_report.waiting, slots);
    const double promptMs
            = (promptTokens + unprocessedPrompts * speed.usualPromptTokens) / promptRate;
    return expectedWaitMs(speed, now) + (stepMs + promptMs) * pace(now);
}

double EndpointLoad::maxRunMs(
        const EngineSpeed &speed, std::uint32_t answerTokens, domain::TimePoint now) const
{
    const double slots = std::max<double>(speed.slots, 1);
    const double usualTokens = std::max(speed.usualAnswerTokens, 1.0);
    const double tokens = answerTokens > 0 ? answerTokens : usualTokens;
    return speed.completionIntervalMs() * slots * tokens / usualTokens * pace(now);
}

} // namespace oriolerill::routing
