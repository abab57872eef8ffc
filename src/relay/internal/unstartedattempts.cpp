#include "relay/internal/unstartedattempts.h"

#include <utility>
#include <vector>

namespace oriolerill::relay::internal {

std::uint64_t UnstartedAttempts::add(Attempt attempt)
{
    m_attempts.emplace(++m_lastId, std::move(attempt));
    return m_lastId;
}

void UnstartedAttempts::withdrawOverdue(
        const routing::WeightsRequirement &weights, domain::TimePoint now)
{
    std::vector<std::function<void()>> overdue;
    for (auto entry = m_attempts.begin(); entry != m_attempts.end();) {
        Attempt &attempt = entry->second;
        const auto beginDeadline = weights.beginDeadline(attempt.model, attempt.served);
        if (!beginDeadline || now < *beginDeadline) {
            ++entry;
            continue;
        }
        overdue.push_back(std::move(attempt.withdraw));
        entry = m_attempts.erase(entry);
    }
    for (const auto &withdraw : overdue)
        withdraw();
}

} // namespace oriolerill::relay::internal
