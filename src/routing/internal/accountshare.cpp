#include "routing/accountshare.h"

#include <algorithm>
#include <vector>

namespace oriolerill::routing {

namespace {

/// Bound on the memory of the window; an entry sees far fewer requests in it.
constexpr std::size_t MaxDecided = 2000;

} // namespace

AccountShare::AccountShare(AccountShareOptions options)
    : m_options(options)
{}

bool AccountShare::isAbove(const domain::AccountId &account, domain::TimePoint now)
{
    expire(now);
    const auto own = m_counts.find(account);
    if (now >= m_contendedUntil || own == m_counts.end() || m_counts.size() < 2
            || own->second.admitted < m_options.minRequests)
        return false;
    Count all;
    for (const auto &[id, count] : m_counts) {
        all.asked += count.asked;
        all.admitted += count.admitted;
    }
    const double guaranteed
            = m_options.minServedShare * all.admitted / all.asked * own->second.asked;
    return own->second.admitted
            >= std::max(m_options.clearMultiple * fairShare(all.admitted), guaranteed);
}

void AccountShare::onDecided(
        const domain::AccountId &account, bool isAdmitted, domain::TimePoint now)
{
    expire(now);
    m_decided.push_back({now, account, isAdmitted});
    Count &count = m_counts[account];
    ++count.asked;
    count.admitted += isAdmitted ? 1 : 0;
}

void AccountShare::expire(domain::TimePoint now)
{
    while (!m_decided.empty()
            && (m_decided.front().at + m_options.window < now || m_decided.size() > MaxDecided)) {
        const auto found = m_counts.find(m_decided.front().account);
        --found->second.asked;
        found->second.admitted -= m_decided.front().isAdmitted ? 1 : 0;
        if (found->second.asked <= 0)
            m_counts.erase(found);
        m_decided.pop_front();
    }
}

double AccountShare::fairShare(double admitted) const
{
    std::vector<double> asked;
    asked.reserve(m_counts.size());
    for (const auto &[id, count] : m_counts)
        asked.push_back(count.asked);
    std::sort(asked.begin(), asked.end());
    double left = admitted;
    for (std::size_t i = 0; i < asked.size(); ++i) {
        const double even = left / static_cast<double>(asked.size() - i);
        if (asked[i] >= even)
            return even;
        left -= asked[i];
    }
    return asked.empty() ? 0 : asked.back();
}

} // namespace oriolerill::routing
