#pragma once

#include "domain/timepoint.h"

#include <optional>

namespace oriolerill::routing {

struct RetryBudgetOptions
{
    /// Retries that each request adds to the budget.
    double perRequest = 0.2;
    /// Retries a second that are allowed without any requests.
    double perSecond = 5;
    double max = 50;
    /// Retries allowed at the start; none allows those of one second.
    std::optional<double> initial;
};

/// Bounds the retries of a process by a share of its requests, so that an overload is not made
/// worse by retries. Not safe for concurrent use.
class RetryBudget
{
public:
    RetryBudget(RetryBudgetOptions options, domain::TimePoint now);

    /// Applies other bounds; retries left over are kept up to the new maximum.
    void configure(RetryBudgetOptions options);
    void onRequest();
    /// True when a retry may be sent now; it is then charged to the budget.
    bool tryRetry(domain::TimePoint now);

private:
    RetryBudgetOptions m_options;
    double m_tokens;
    domain::TimePoint m_refilledAt;
};

} // namespace oriolerill::routing
