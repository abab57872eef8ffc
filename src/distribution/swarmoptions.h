#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"

#include <cstddef>
#include <cstdint>

namespace oriolerill::distribution {

struct SwarmOptions
{
    domain::DataCentreId dataCentre;
    /// Region of the origin, which is the store of weights. Empty when unknown; the links between
    /// regions are then loaded unevenly.
    domain::RegionId originRegion;
    std::uint64_t seed = 0;
    /// Copies that all data centres together may fetch from the origin when there are faults.
    double originBudgetCopies = 4;
    domain::Duration grantLease = std::chrono::seconds(10);
    domain::Duration activeReportInterval = std::chrono::milliseconds(200);
    domain::Duration idleReportInterval = std::chrono::seconds(2);
    /// Minimum time between queries to another data centre about a version, and the addition to it
    /// per chunk: the reply grows with the number of chunks.
    domain::Duration queryInterval = std::chrono::milliseconds(100);
    domain::Duration queryIntervalPerChunk = std::chrono::microseconds(40);
    /// Parallel fetches always allowed for an agent, a source or a link between data centres.
    std::size_t minSlots = 4;
};

} // namespace oriolerill::distribution
