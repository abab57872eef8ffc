#include "soakpoison.h"

namespace oriolerill::standins {

using domain::TimePoint;

SoakPoison::SoakPoison(SoakJournal &journal)
    : m_journal(journal)
{}

void SoakPoison::beginPart(std::uint64_t oneIn, TimePoint until)
{
    const std::string name = "dead" + std::to_string(m_causes.size() + 1);
    m_causes[name] = {oneIn, until, std::nullopt};
    m_journal.log(
            "part " + name + " crashes engines, in one of " + std::to_string(oneIn) + " streams");
}

void SoakPoison::beginRequest(SoakKind kind, std::uint64_t oneIn, TimePoint until)
{
    const std::string name = "fatal" + std::to_string(m_causes.size() + 1);
    SoakAttempt request;
    request.kind = kind;
    request.deadlyCause = name;
    if (kind == SoakKind::Read) {
        request.target = "/read/" + name + "?q=1";
    } else {
        request.method = "POST";
        request.target = (kind == SoakKind::Order ? "/order/" : "/resume/") + name;
        request.body = name;
    }
    if (request.isStream())
        request.parts = "acc0:40,b0:20," + name + ":20";
    m_journal.log("request " + request.target + " crashes endpoints, one of "
            + std::to_string(oneIn) + " requests");
    m_causes[name] = {oneIn, until, std::move(request)};
}

std::string SoakPoison::drawParts(SoakAttempt &attempt, std::mt19937_64 &random) const
{
    constexpr std::uint64_t Topics = 8;
    std::string parts = "acc0:40,";
    const TimePoint now = TimePoint::clock::now();
    for (const auto &[name, cause] : m_causes) {
        const bool isDrawn = !cause.request && now < cause.until && attempt.deadlyCause.empty()
                && random() % cause.oneIn == 0;
        if (isDrawn) {
            attempt.deadlyCause = name;
            parts += name + ":20,";
        }
    }
    return parts + 'b' + std::to_string(random() % Topics) + ":20," + attempt.id + ":20";
}

void SoakPoison::drawRequest(SoakAttempt &attempt, std::mt19937_64 &random) const
{
    const TimePoint now = TimePoint::clock::now();
    for (const auto &[name, cause] : m_causes) {
        const bool isDrawn = cause.request && now < cause.until && attempt.deadlyCause.empty()
                && random() % cause.oneIn == 0;
        if (!isDrawn)
            continue;
        SoakAttempt repeat = *cause.request;
        repeat.id = attempt.id;
        repeat.entry = attempt.entry;
        repeat.incarnation = attempt.incarnation;
        attempt = std::move(repeat);
    }
}

bool SoakPoison::isChecked(const SoakAttempt &attempt) const
{
    const auto cause = m_causes.find(attempt.deadlyCause);
    return cause != m_causes.end() && cause->second.crashes > 0
            && TimePoint::clock::now() > cause->second.firstCrashAt + SoakJournal::ContactTime;
}

void SoakPoison::onArrival(const SoakAttempt &attempt)
{
    Cause &cause = m_causes.at(attempt.deadlyCause);
    const TimePoint now = TimePoint::clock::now();
    const bool isInForce = cause.crashes >= cause.freeCrashes()
            && attempt.sent > cause.lastFreeCrashAt + SoakJournal::ContactTime
            && m_journal.isFaultFree(attempt.entry, attempt.sent - SoakJournal::ContactTime, now);
    if (!isInForce)
        return;
    m_journal.log("late arrival with " + attempt.deadlyCause + ": " + attempt.id);
    if (++cause.late > MaxLate) {
        m_journal.violation("BUDGET",
                std::to_string(cause.late) + " requests with " + attempt.deadlyCause
                        + " after it was known to crash endpoints, the last " + attempt.id
                        + " from " + attempt.entry);
    }
}

void SoakPoison::onCrash(const SoakAttempt &attempt, const std::string &instance)
{
    Cause &cause = m_causes.at(attempt.deadlyCause);
    ++cause.crashes;
    if (cause.crashes == 1)
        cause.firstCrashAt = TimePoint::clock::now();
    if (cause.crashes == cause.freeCrashes())
        cause.lastFreeCrashAt = TimePoint::clock::now();
    m_journal.log(attempt.id + " with " + attempt.deadlyCause + " crashes " + instance + ", crash "
            + std::to_string(cause.crashes));
}

} // namespace oriolerill::standins
