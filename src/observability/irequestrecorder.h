#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"

namespace oriolerill::observability {

enum class RequestOutcome {
    Answered,
    /// Refused and certainly not executed.
    NotRun,
    /// The request may or may not have been executed.
    Unknown,
    /// The answer was truncated.
    Cut,
};

/// A finished request of a caller, as counted in the burn report.
struct RequestRecord
{
    domain::AccountId account;
    domain::ServiceId service;
    domain::DataCentreId dataCentre;
    RequestOutcome outcome = RequestOutcome::Answered;
    domain::Duration firstByte = {};
    domain::Duration total = {};
    domain::WallTime finishedAt;
};

/// Receives every finished request; safe to use from all workers.
class IRequestRecorder
{
public:
    virtual ~IRequestRecorder() = default;

    virtual void record(const RequestRecord &record) = 0;
};

} // namespace oriolerill::observability
