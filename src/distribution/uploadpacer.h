#pragma once

#include "domain/quantity.h"
#include "domain/timepoint.h"

namespace oriolerill::distribution {

struct UploadPacerOptions
{
    /// Rate of the VM's link.
    domain::BytesPerSecond link = domain::BytesPerSecond(1U << 20U);
    /// Share of the link for weights. Answers of the engine use the same link, and each piece
    /// queued in it delays their events by the time that it takes to send the piece.
    double share = 0.85;
};

/// Paces the pieces that a VM sends to peers, so that no queue builds up in its link.
///
/// Load pattern: all VMs of a data centre request pieces at once while callers wait for events.
/// No I/O; not thread-safe.
class UploadPacer
{
public:
    explicit UploadPacer(UploadPacerOptions options);

    /// Earliest time at which the next upload may begin.
    domain::TimePoint nextAt(domain::TimePoint now) const;
    /// Reserves link time for an upload that begins now.
    void onBegin(domain::Bytes size, domain::TimePoint now);

private:
    UploadPacerOptions m_options;
    domain::TimePoint m_freeAt;
};

} // namespace oriolerill::distribution
