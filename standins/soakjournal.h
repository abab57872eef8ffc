#pragma once

#include "domain/timepoint.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolerill::standins {

/// Lines of one soak run: violations of the operators' rules, and when which part of the fleet was
/// under a fault.
class SoakJournal
{
public:
    /// Bounds of a site as the operators' settings page states them.
    static constexpr auto ContactTime = std::chrono::milliseconds(3000);

    explicit SoakJournal(std::uint64_t seed);

    std::uint64_t seed() const { return m_seed; }
    void log(const std::string &text);
    /// Prints the rule with the seed and the time; the run fails.
    void violation(const std::string &rule, const std::string &text);
    std::size_t violations() const { return m_violations; }

    /// Faults of a part ("entry1", "store") may overlap; each begin needs its own end. The part
    /// "store-answers" is the store with faults that delay or lose its answers.
    void beginFault(const std::string &part, const std::string &what);
    void endFault(const std::string &part);
    /// A fault that is over at once, as a reset of connections.
    void instantFault(const std::string &part, const std::string &what);
    /// A fault that is known only once it is over.
    void pastFault(const std::string &part, domain::TimePoint begin);
    /// Whether no fault of the part overlapped the span.
    bool isFaultFree(
            const std::string &part, domain::TimePoint from, domain::TimePoint until) const;
    /// In touch as the rules say: the part and the store were calm for the contact time.
    bool isSettled(const std::string &part, domain::TimePoint at) const;
    /// End of the last fault of the part; now while one lasts.
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
