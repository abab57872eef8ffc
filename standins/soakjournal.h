#pragma once

#include "domain/timepoint.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolerill::standins {

/// Log of one soak run: violations of the operators' rules, and the spans in which each part of
/// the fleet was under a fault.
class SoakJournal
{
public:
    /// Contact time of the operators' settings page.
    static constexpr auto ContactTime = std::chrono::milliseconds(3000);

    explicit SoakJournal(std::uint64_t seed);

    std::uint64_t seed() const { return m_seed; }
    void log(const std::string &text);
    /// Logs a violation with the seed and fails the run.
    void violation(const std::string &rule, const std::string &text);
    std::size_t violations() const { return m_violations; }

    /// Faults of a part ("entry1", "store") may overlap; each begin needs its own end. Faults that
    /// delay or lose answers of the store belong to the part "store-answers".
    void beginFault(const std::string &part, const std::string &what);
    void endFault(const std::string &part);
    /// A fault without duration, such as a reset of connections.
    void instantFault(const std::string &part, const std::string &what);
    /// A fault that is detected only at its end.
    void pastFault(const std::string &part, domain::TimePoint begin);
    /// True when no fault of the part overlaps the span.
    bool isFaultFree(
            const std::string &part, domain::TimePoint from, domain::TimePoint until) const;
    /// True when the part and the store were without faults for the contact time before: the
    /// condition of most rules.
    bool isSettled(const std::string &part, domain::TimePoint at) const;
    /// End of the last fault of the part; the current time during a fault.
    domain::TimePoint lastFault(const std::string &part) const;
    std::size_t faults() const { return m_faults; }

private:
    struct Span
    {
        domain::TimePoint begin;
        domain::TimePoint end;
        bool isOpen = true;
    };

    std::string stamp() const;

    std::uint64_t m_seed;
    domain::TimePoint m_started = domain::TimePoint::clock::now();
    std::map<std::string, std::vector<Span>> m_spans;
    std::size_t m_violations = 0;
    std::size_t m_faults = 0;
};

} // namespace oriolerill::standins
