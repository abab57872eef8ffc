#pragma once

#include "domain/timepoint.h"

namespace oriolerill::objectstore {

/// Deadline by which a possibly stale copy of a collection must be read from the store.
///
/// While a watch waits or a publisher's updates are accepted, the copy is current and there is no
/// deadline. From the moment at which a change may have been missed, all retry delays, suspensions
/// and waits for other processes share one budget, at whose end the store is read. While the store
/// is unreachable, the budget counts from the last unanswered call. The first sign of its return
/// fixes the deadline: failures within it are part of the budget. Without I/O and clock.
class FreshnessDeadline
{
public:
    explicit FreshnessDeadline(domain::Duration budget);

    /// The store or an accepted update of a publisher confirmed the copy.
    void onConfirmed();
    /// A change may have been missed since this time; an earlier deadline is kept.
    void onPossiblyStale(domain::TimePoint since);
    /// A call that was sent at this time was not answered: the store was unreachable then, so the
    /// budget starts again, unless the store has returned less than a budget ago.
    void onUnanswered(domain::TimePoint sentAt);
    /// The store has answered a call of this process.
    void onReturned();
    /// A change that is still missing was made after this time.
    void onProven(domain::TimePoint provenAt);

    /// The copy is possibly stale although the store answers this process.
    bool isReturned() const { return m_isReturned; }
    bool isPossiblyStale() const { return m_readDeadline != domain::TimePoint::max(); }
    /// Since when a change may have been missed; TimePoint::max() while the copy is confirmed or
    /// the budget is unlimited.
    domain::TimePoint possiblyStaleSince() const;
    /// Latest time for the own read of the store; TimePoint::max() while the copy is confirmed.
    domain::TimePoint readDeadline() const { return m_readDeadline; }
    /// The wait, limited to the remaining budget and at least zero; unchanged without a deadline.
    domain::Duration limitWait(domain::Duration wait, domain::TimePoint now) const;

private:
    domain::Duration m_budget;
    domain::TimePoint m_readDeadline = domain::TimePoint::max();
    bool m_isReturned = false;
};

} // namespace oriolerill::objectstore
