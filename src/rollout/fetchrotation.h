#pragma once

#include "domain/timepoint.h"

#include <cstdint>
#include <map>
#include <optional>

namespace oriolerill::rollout {

struct FetchRotationOptions
{
    /// A version that is fetched and gets no piece for this long is stalled. A piece takes 42 ms
    /// over a VM's link; a source times out after 1500 ms, with requests to others meanwhile.
    domain::Duration stallTimeout = std::chrono::milliseconds(900);
    /// A stalled version is tried again after this delay, as its sources may be back. The delay
    /// doubles with each stall without a piece in between, so that a version without sources takes
    /// little of the fetch time of others.
    domain::Duration retryDelay = std::chrono::milliseconds(900);
    std::uint32_t maxDoublings = 3;
};

/// Detects stalled versions while several are wanted and one is fetched at a time.
///
/// Without it, a VM would wait for the newest version when the origin is lost before any VM has all
/// pieces of that version, although an older version, which other VMs have, is needed meanwhile.
/// Only the version that is being fetched can be found stalled: the sources of the others are not
/// tested. No I/O.
class FetchRotation
{
public:
    explicit FetchRotation(FetchRotationOptions options = {});

    /// The version whose pieces are fetched from now on; none when nothing is fetched.
    void onFetch(std::optional<std::uint64_t> version, domain::TimePoint now);
    /// progressAt is when the version's last piece was received.
    bool isStalled(std::uint64_t version, domain::TimePoint progressAt, domain::TimePoint now);

private:
    FetchRotationOptions m_options;
    std::optional<std::uint64_t> m_fetchedVersion;
    domain::TimePoint m_fetchedSince;
    struct Stall
    {
        domain::TimePoint detectedAt;
        domain::TimePoint retryAt;
        std::uint32_t count = 0;
    };
    std::map<std::uint64_t, Stall> m_stalls;
};

} // namespace oriolerill::rollout
