#pragma once

#include "domain/quantity.h"
#include "domain/timepoint.h"

namespace oriolerill::distribution {

struct UploadPacerOptions
{
    /// Rate of the VM's link.
    domain::BytesPerSecond link = domain::BytesPerSecond(1U << 20U);
    /// Share of the link for weights. Answers of the engine leave over the same link, and each
    /// piece that waits in it delays their events by as long as it takes to send.
    double share = 0.85;
};

/// Spaces out the pieces that a VM sends to others, so that no queue builds up in its link.
///
/// Load pattern: all VMs of a data centre ask for pieces at once while callers wait for events.
/// No I/O; not safe for concurrent use.
class UploadPacer
{
public:
    explicit UploadPacer(UploadPacerOptions options);

    /// When the next upload could begin.
    domain::TimePoint nextAt(domain::TimePoint now) const;
    /// Takes the link for an upload that begins now.
    void onBegin(domain::Bytes size, domain::TimePoint now);

private:
    UploadPacerOptions m_options;
    domain::TimePoint m_freeAt;
};

} // namespace oriolerill::distribution
