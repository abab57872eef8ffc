#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"

namespace oriolerill::observability {

enum class RequestOutcome {
    Answered,
    /// Refused with proof that it never ran.
    NotRun,
    /// The caller cannot know whether it ran.
    Unknown,
    /// The answer broke off.
    Cut,
};

/// One finished request of a caller, as the service-level report counts it.
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
