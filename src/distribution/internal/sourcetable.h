#pragma once

#include "distribution/internal/ratewindow.h"
#include "domain/timepoint.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriolerill::distribution::internal {

/// Sources of chunks, shared by all versions of a tracker: outstanding fetches and their limit,
/// speed, and whether the source is avoided. Index 0 is the origin.
class SourceTable
{
public:
    using Index = std::uint32_t;
    static constexpr Index Origin = 0;

    explicit SourceTable(std::size_t minSlots);

    /// The index of an address, added if new; the empty address is the origin.
    Index find(const std::string &address);
    const std::string &address(Index source) const { return m_sources[source].address; }

    bool isUsable(Index source, domain::TimePoint now) const;
    bool isAvoided(Index source, domain::TimePoint now) const;
    std::size_t outstanding(Index source) const { return m_sources[source].window.outstanding(); }
    std::size_t limit(Index source, domain::TimePoint now) const
    {
        return m_sources[source].window.limit(now);
    }
    /// Mean duration of a fetch from this source relative to the mean of all sources.
    double slowness(Index source) const;

    void started(Index source) { m_sources[source].window.started(); }
    void completed(Index source, domain::Duration took, domain::TimePoint now);
    void dropped(Index source) { m_sources[source].window.dropped(); }
    /// Avoids a source that sent bad data or failed, with exponential backoff until a fetch from it
    /// completes.
    void recordFault(Index source, domain::TimePoint now);

private:
    struct Source
    {
        std::string address;
        RateWindow window;
        double meanSeconds = 0;
        std::uint32_t faultCount = 0;
        domain::TimePoint avoidedUntil;
    };

    std::size_t m_minSlots;
    double m_meanSeconds = 0;
    std::vector<Source> m_sources;
    std::unordered_map<std::string, Index> m_indexes;
};

} // namespace oriolerill::distribution::internal
