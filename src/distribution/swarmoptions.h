#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"

#include <cstddef>
#include <cstdint>

namespace oriolerill::distribution {

struct SwarmOptions
{
    domain::DataCentreId dataCentre;
    /// Region of the weight store; empty when unknown, which leaves some links to it unbalanced.
    domain::RegionId originRegion;
    std::uint64_t seed = 0;
    /// Copies that all data centres together may take from the origin under faults.
    double originBudgetCopies = 4;
    domain::Duration grantLease = std::chrono::seconds(10);
    domain::Duration activeReportInterval = std::chrono::milliseconds(200);
    domain::Duration idleReportInterval = std::chrono::seconds(2);
    /// Least time between questions to another data centre about a version, and what each chunk
    /// adds to it: an answer grows with the chunks.
    domain::Duration queryInterval = std::chrono::milliseconds(100);
    domain::Duration queryIntervalPerChunk = std::chrono::microseconds(40);
    /// Parallel fetches that an agent, a source or a link between sites is always allowed.
    std::size_t minSlots = 4;
};

} // namespace oriolerill::distribution
