#include "rollout/versionorder.h"

#include <algorithm>

namespace oriolerill::rollout {

namespace {

/// Time without an engine that serves the required version, when the versions from the given
/// position on are fetched one after the other.
domain::Duration unservedTime(const std::vector<PendingVersion> &pending, std::size_t first,
        const VersionOrderOptions &options, domain::TimePoint now)
{
    std::vector<domain::TimePoint> servedAt(pending.size(), domain::TimePoint::max());
    domain::TimePoint fetchedAt = now;
    for (std::size_t i = first; i < pending.size(); ++i) {
        fetchedAt += options.pieceTime * static_cast<int>(pending[i].missing);
        servedAt[i] = fetchedAt + options.spreadTime;
    }
    domain::Duration unserved = domain::Duration::zero();
    for (std::size_t i = 0; i < pending.size(); ++i) {
        // From this version's bound to the next one, it or any newer version is required.
        const auto from = std::max(pending[i].boundAt, now);
        const auto until = i + 1 < pending.size() ? std::max(pending[i + 1].boundAt, from)
                                                  : domain::TimePoint::max();
        const auto earliest = *std::min_element(
                servedAt.begin() + static_cast<std::ptrdiff_t>(i), servedAt.end());
        unserved += std::max(std::min(until, earliest) - from, domain::Duration::zero());
    }
    return unserved;
}

} // namespace

std::vector<std::uint64_t> versionOrder(std::vector<PendingVersion> pending,
        const VersionOrderOptions &options, domain::TimePoint now)
{
    std::sort(pending.begin(), pending.end(),
            [](const auto &left, const auto &right) { return left.number < right.number; });
    std::size_t first = 0;
    for (std::size_t i = 1; i < pending.size(); ++i) {
        if (unservedTime(pending, i, options, now) < unservedTime(pending, first, options, now))
            first = i;
    }
    std::rotate(
            pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(first), pending.end());
    std::vector<std::uint64_t> order;
    order.reserve(pending.size());
    for (const PendingVersion &version : pending)
        order.push_back(version.number);
    return order;
}

} // namespace oriolerill::rollout
