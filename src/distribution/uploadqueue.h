#pragma once

#include "distribution/weightsversion.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace oriolerill::distribution {

/// A peer's request for a piece.
struct UploadRequest
{
    WeightsVersion version;
    std::uint32_t piece = 0;
    /// The piece goes to another data centre, whose members all wait for this copy.
    bool isForOtherDataCentre = false;
};

/// Requests of peers that wait until this VM holds the piece, or until its link is free.
///
/// Load pattern: all VMs fetch a version at once, and one of each data centre fetches each piece
/// for all others there. Requests from other data centres go first, the others in order of
/// arrival. No I/O; not thread-safe.
class UploadQueue
{
public:
    using Ticket = std::uint64_t;

    Ticket add(UploadRequest request);
    void remove(Ticket ticket) { m_waiting.erase(ticket); }
    /// The next request to serve among those whose piece is held.
    std::optional<Ticket> next(const std::function<bool(const UploadRequest &)> &isHeld) const;
    std::size_t size() const { return m_waiting.size(); }

private:
    std::map<Ticket, UploadRequest> m_waiting;
    Ticket m_last = 0;
};

} // namespace oriolerill::distribution
