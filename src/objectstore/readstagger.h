#pragma once

#include "domain/timepoint.h"

#include <cstdint>

namespace oriolerill::objectstore {

/// When an entry may read a shared collection from the store, by its rank in its data centre.
///
/// Publishers read at once and publish what they have read. Each further group of ranks, twice as
/// large as the one before, waits longer: a read that is late at all entries for the same reason
/// is then repeated by a few of them. The last group reads at the end of the budget. Without I/O
/// and clock.
class ReadStagger
{
public:
    ReadStagger(std::uint32_t publishers, domain::Duration budget);

    /// Place among the entries of the data centre, from zero; no entries while it is not known.
    void setRank(std::uint32_t rank, std::uint32_t entries);

    /// The rank is that of a publisher.
    bool isPublisher() const;
    /// Time from a doubt about the own copy to the own read; zero for publishers and without a
    /// rank.
    domain::Duration delay() const;

private:
    std::uint32_t m_publishers;
    domain::Duration m_budget;
    std::uint32_t m_rank = 0;
    std::uint32_t m_entries = 0;
};

} // namespace oriolerill::objectstore
