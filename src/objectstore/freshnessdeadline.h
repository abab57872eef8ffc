#pragma once

#include "domain/timepoint.h"

namespace oriolerill::objectstore {

/// By when a copy of a collection must be confirmed by the store itself.
///
/// While a watch waits or a publisher's updates are accepted, the copy is current and there is no
/// deadline. From the moment at which a change may have been missed, all pauses, hold-backs and
/// waits for other processes share one budget, at whose end the store is asked. Without I/O and
/// clock.
class FreshnessDeadline
{
public:
    explicit FreshnessDeadline(domain::Duration budget);

    /// The store has answered, or an update of a publisher was accepted.
    void onConfirmed();
    /// A change may have been missed since this time; an earlier doubt keeps its deadline.
    void onPossiblyStale(domain::TimePoint since);
    /// A call that was sent at this time was not answered: the store could not be reached then, so
    /// the budget begins anew.
    void onUnanswered(domain::TimePoint sentAt);

    bool isPossiblyStale() const { return m_readDeadline != domain::TimePoint::max(); }
    /// Since when a change may have been missed; TimePoint::max() without a doubt or a budget.
    domain::TimePoint possiblyStaleSince() const;
    /// Latest time for the own call; TimePoint::max() without a doubt.
    domain::TimePoint readDeadline() const { return m_readDeadline; }
    /// The wait, limited to the remaining budget; never negative.
    domain::Duration limitWait(domain::Duration wait, domain::TimePoint now) const;

private:
    domain::Duration m_budget;
    domain::TimePoint m_readDeadline = domain::TimePoint::max();
};

} // namespace oriolerill::objectstore
