#pragma once

#include "domain/timepoint.h"

#include <cstdint>
#include <map>
#include <optional>

namespace oriolerill::rollout {

struct FetchRotationOptions
{
    /// A version that is fetched and gets no piece for this long is stalled. Pieces take 42 ms over
    /// a VM's link; a source is given up after 1500 ms, with others asked meanwhile.
    domain::Duration stallTimeout = std::chrono::milliseconds(900);
    /// A stalled version is tried again after this long: its sources may be back. Doubles with each
    /// stall without a piece in between, so that a version nobody has takes little of another's
    /// time.
    domain::Duration retryDelay = std::chrono::milliseconds(900);
    std::uint32_t maxDoublings = 3;
};

/// Which versions get no pieces at present, among several of which one is fetched at a time.
///
/// Failure: the origin is lost while a version is fetched of which no VM has all pieces, and an
/// older version, which other VMs have, is needed meanwhile. Only a version that is being fetched
/// can show that its sources fail. No I/O.
class FetchRotation
{
public:
    explicit FetchRotation(FetchRotationOptions options = {});

    /// The version whose pieces are fetched from now on; none when nothing is fetched.
    void onFetch(std::optional<std::uint64_t> version, domain::TimePoint now);
    /// progressAt is when the version's last piece came.
    bool isStalled(std::uint64_t version, domain::TimePoint progressAt, domain::TimePoint now);

private:
    FetchRotationOptions m_options;
    std::optional<std::uint64_t> m_fetched;
    domain::TimePoint m_fetchedSince;
    struct Stall
    {
        domain::TimePoint at;
        domain::TimePoint until;
        std::uint32_t count = 0;
    };
    std::map<std::uint64_t, Stall> m_stalls;
};

} // namespace oriolerill::rollout
