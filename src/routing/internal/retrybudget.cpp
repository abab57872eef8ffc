#include "routing/retrybudget.h"

#include <algorithm>

namespace oriolerill::routing {

RetryBudget::RetryBudget(RetryBudgetOptions options, domain::TimePoint now)
    : m_options(options)
    , m_tokens(options.initial.value_or(options.perSecond))
    , m_refilledAt(now)
{}

void RetryBudget::configure(RetryBudgetOptions options)
{
    m_options = options;
    m_tokens = std::min(m_tokens, m_options.max);
}

void RetryBudget::onRequest()
{
    m_tokens = std::min(m_options.max, m_tokens + m_options.perRequest);
}

bool RetryBudget::tryRetry(domain::TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = std::max(m_refilledAt, now);
    m_tokens = std::min(m_options.max, m_tokens + std::max(elapsed, 0.0) * m_options.perSecond);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace oriolerill::routing
