#include "routing/plainadmission.h"

#include <algorithm>

namespace oriolerill::routing {

namespace {

/// Bound on a stated slowness; with zero, a queue would cost nothing.
constexpr double MinSlowness = 0.1;

double toMs(domain::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

PlainAdmission::PlainAdmission(PlainAdmissionOptions options)
    : m_options(options)
{}

void PlainAdmission::onAnswer(const domain::ServiceId &service, const AnswerLoad &load,
        domain::Duration elapsed, double queuedRuns)
{
    const Service initial{m_options.startRunMs, m_options.queuePerSlot, {}};
    Service &learned = m_services.try_emplace(service, initial).first->second;
    if (load.slots > 0) {
        learned.queuePerSlot
                = std::max(learned.queuePerSlot, static_cast<double>(load.waiting) / load.slots);
    }
    double &known = learned.runMs;
    const double slowness
            = std::clamp(load.slowness.value_or(1), MinSlowness, m_options.maxSlowness);
    const double sample = toMs(elapsed) / slowness / (1 + std::max(queuedRuns, 0.0));
    const double limited = std::clamp(
            sample, known / m_options.maxSampleRatio, known * m_options.maxSampleRatio);
    known = std::clamp(
            known + (limited - known) * m_options.weight, m_options.minRunMs, m_options.maxRunMs);
}

double PlainAdmission::runMs(const domain::ServiceId &service) const
{
    const auto known = m_services.find(service);
    return known == m_services.end() ? m_options.startRunMs : known->second.runMs;
}

double PlainAdmission::queuedRuns(const domain::ServiceId &service, const PlainLoad &load) const
{
    const double slots = std::max(load.slots, 1.0);
    // The stated queue has been worked off since. Requests of other entries that arrived meanwhile
    // are unknown, so that an old value errs towards admission. Own requests without an answer are
    // still there.
    const double completedRuns
            = toMs(load.age) / (runMs(service) * std::max(load.slowness, MinSlowness));
    const double statedRuns = (load.occupancy + 1 - slots) / slots - completedRuns;
    return std::max({statedRuns, (load.inFlight + 1 - slots) / slots, 0.0});
}

bool PlainAdmission::isShedding(const domain::ServiceId &service, const PlainLoad &load) const
{
    const auto known = m_services.find(service);
    return known != m_services.end() && queuedRuns(service, load) > known->second.queuePerSlot;
}

std::optional<double> PlainAdmission::refuse(const domain::ServiceId &service,
        const std::vector<PlainLoad> &loads, domain::Duration timeLeft, domain::TimePoint now)
{
    const auto known = m_services.find(service);
    if (known == m_services.end() || loads.empty())
        return std::nullopt;
    const double limitMs = std::max(toMs(timeLeft), 0.0) * m_options.deadlineShare;
    std::optional<double> roomMs;
    for (const PlainLoad &load : loads) {
        const double runs = queuedRuns(service, load);
        const double runMs = known->second.runMs * std::max(load.slowness, MinSlowness);
        const double lateMs = std::min((1 + runs) * runMs - limitMs, runs * runMs);
        const double shedMs = (runs - known->second.queuePerSlot) * runMs;
        const double waitMs = std::max(lateMs, shedMs);
        // Without a queue, a slot is free, or nothing recent is known about the endpoint.
        if (runs <= 0 || waitMs <= 0)
            return std::nullopt;
        roomMs = std::min(roomMs.value_or(waitMs), waitMs);
    }
    std::optional<domain::TimePoint> &probedAt = known->second.probedAt;
    if (!probedAt || now - *probedAt >= m_options.probeInterval) {
        probedAt = now;
        return std::nullopt;
    }
    return roomMs;
}

std::map<domain::ServiceId, double> PlainAdmission::learnedRunMs() const
{
    std::map<domain::ServiceId, double> learned;
    for (const auto &[id, service] : m_services)
        learned.emplace(id, service.runMs);
    return learned;
}

} // namespace oriolerill::routing
