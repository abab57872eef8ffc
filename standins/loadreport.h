#pragma once

#include "domain/timepoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolerill::standins {

/// Counts and latencies of a load run, by phase.
class LoadReport
{
public:
    void count(const std::string &name, std::uint64_t by = 1) { m_counts[name] += by; }
    std::uint64_t counted(const std::string &name) const;
    void setPhase(const std::string &phase) { m_phase = phase; }
    /// Records the time to the end of a complete answer.
    void recordLatency(const std::string &kind, domain::Duration latency);

    /// One line of key=value pairs: the counts, then p50 and p99 in microseconds by phase and kind.
    std::string line() const;

private:
    using Latencies = std::vector<std::uint32_t>;

    std::map<std::string, std::uint64_t> m_counts;
    std::map<std::string, Latencies> m_latencies;
    std::string m_phase = "idle";
};

} // namespace oriolerill::standins
