#include "soakjournal.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace oriolerill::standins {

using domain::TimePoint;

SoakJournal::SoakJournal(std::uint64_t seed)
    : m_seed(seed)
{}

/// Time since the start, and the time of day for comparison with the logs of the programs.
std::string SoakJournal::stamp() const
{
    const std::chrono::duration<double> elapsed = TimePoint::clock::now() - m_started;
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
    const std::time_t seconds = milliseconds / 1000;
    std::tm day{};
    gmtime_r(&seconds, &day);
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << elapsed.count() << ' '
         << std::put_time(&day, "%H:%M:%S") << '.' << std::setw(3) << std::setfill('0')
         << milliseconds % 1000;
    return text.str();
}

void SoakJournal::log(const std::string &text)
{
    std::cout << stamp() << ' ' << text << std::endl;
}

void SoakJournal::violation(const std::string &rule, const std::string &text)
{
    ++m_violations;
    std::cout << stamp() << " VIOLATION " << rule << " seed=" << m_seed << ' ' << text << std::endl;
}

void SoakJournal::beginFault(const std::string &part, const std::string &what)
{
    m_spans[part].push_back({TimePoint::clock::now(), TimePoint::max(), true});
    ++m_faults;
    log("fault " + part + ' ' + what);
}

void SoakJournal::endFault(const std::string &part)
{
    for (Span &span : m_spans[part]) {
        if (span.isOpen) {
            span.isOpen = false;
            span.end = TimePoint::clock::now();
            log("end of fault " + part);
            return;
        }
    }
}

void SoakJournal::instantFault(const std::string &part, const std::string &what)
{
    beginFault(part, what);
    endFault(part);
}

void SoakJournal::pastFault(const std::string &part, TimePoint begin)
{
    m_spans[part].push_back({begin, TimePoint::clock::now(), false});
}

bool SoakJournal::isFaultFree(const std::string &part, TimePoint from, TimePoint until) const
{
    if (part == "store" && !isFaultFree("store-answers", from, until))
        return false;
    const auto found = m_spans.find(part);
    if (found == m_spans.end())
        return true;
    return std::none_of(found->second.begin(), found->second.end(),
            [&](const Span &span) { return span.begin <= until && span.end >= from; });
}

bool SoakJournal::isSettled(const std::string &part, TimePoint at) const
{
    const TimePoint from = at - ContactTime;
    return isFaultFree(part, from, at) && isFaultFree("store", from, at);
}

TimePoint SoakJournal::lastFault(const std::string &part) const
{
    TimePoint last = part == "store" ? lastFault("store-answers") : m_started;
    const auto found = m_spans.find(part);
    if (found == m_spans.end())
        return last;
    for (const Span &span : found->second)
        last = std::max(last, std::min(span.end, TimePoint::clock::now()));
    return last;
}

} // namespace oriolerill::standins
