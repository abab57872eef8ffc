#include "objectstore/readstagger.h"

#include <algorithm>
#include <bit>

namespace oriolerill::objectstore {

namespace {

/// Part of the budget before the first group of entries that are no publishers reads: longer than
/// the time between two proofs of one publisher.
constexpr double FirstDelay = 0.75;

/// 0 for the publishers, 1 for as many ranks again, 2 for the next twice as many, and so on.
std::uint32_t groupOf(std::uint32_t rank, std::uint32_t publishers)
{
    return static_cast<std::uint32_t>(std::bit_width(rank / publishers));
}

} // namespace

ReadStagger::ReadStagger(std::uint32_t publishers, domain::Duration budget)
    : m_publishers(std::max(publishers, 1U))
    , m_budget(budget)
{}

void ReadStagger::setRank(std::uint32_t rank, std::uint32_t entries)
{
    m_rank = rank;
    m_entries = entries;
}

bool ReadStagger::isPublisher() const
{
    return m_entries > 0 && m_rank < m_publishers;
}

bool ReadStagger::hasSubscribers() const
{
    return m_entries > m_publishers;
}

domain::Duration ReadStagger::firstDelay() const
{
    return std::chrono::duration_cast<domain::Duration>(m_budget * FirstDelay);
}

domain::Duration ReadStagger::delay() const
{
    const std::uint32_t group = groupOf(m_rank, m_publishers);
    if (m_entries == 0 || group == 0)
        return {};
    const std::uint32_t lastGroup = std::max(groupOf(m_entries - 1, m_publishers), group);
    const double later = lastGroup == 1 ? 0 : static_cast<double>(group - 1) / (lastGroup - 1);
    const double part = FirstDelay + (1 - FirstDelay) * later;
    return std::chrono::duration_cast<domain::Duration>(m_budget * part);
}

} // namespace oriolerill::objectstore
