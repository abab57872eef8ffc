#pragma once

#include "domain/timepoint.h"

#include <cstdint>

namespace oriolerill::objectstore {

/// Delay by rank until an entry may read a collection from the store itself.
///
/// Publishers read at once and publish the result. The other ranks form groups: the first is as
/// large as the group of publishers, and each further one is twice as large as the previous one and
/// waits longer. When all entries lack an update for the same reason, only a few of them repeat the
/// read. The last group reads at the end of the budget. Without I/O and clock.
class ReadStagger
{
public:
    ReadStagger(std::uint32_t publishers, domain::Duration budget);

    /// Rank among the entries of the data centre, from zero; no entries while it is unknown.
    void setRank(std::uint32_t rank, std::uint32_t entries);

    /// False while the rank is unknown.
    bool isPublisher() const;
    /// Time from the moment at which the copy is possibly stale to the own read; zero for
    /// publishers and while the rank is unknown.
    domain::Duration delay() const;
    /// There are entries that are no publishers.
    bool hasSubscribers() const;
    /// Delay of the first group that is no group of publishers.
    domain::Duration firstDelay() const;

private:
    std::uint32_t m_publishers;
    domain::Duration m_budget;
    std::uint32_t m_rank = 0;
    std::uint32_t m_entries = 0;
};

} // namespace oriolerill::objectstore
