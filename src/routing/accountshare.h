#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"

#include <cstddef>
#include <deque>
#include <map>

namespace oriolerill::routing {

struct AccountShareOptions
{
    /// Window in which requests are counted, and in which a refusal counts as contention.
    domain::Duration window = std::chrono::milliseconds(3000);
    domain::Duration contention = std::chrono::milliseconds(2000);
    /// An account is above its share only from this multiple of it and this number of admitted
    /// requests on: an entry sees about two requests of an account in the window, and one account
    /// may get several of them by chance.
    double clearMultiple = 2;
    double minRequests = 6;
    /// Fraction served of an account, relative to that of all requests of the rank, below which it
    /// is not refused for its share. The operator's bound is a quarter.
    double minServedShare = 0.4;
};

/// Max-min fair shares of accounts in the requests of one rank of a service at one entry.
///
/// Load pattern: one account sends half of the traffic or more for seconds. Only accounts that have
/// sent requests lately count, so that nothing is kept for others. Not safe for concurrent use.
class AccountShare
{
public:
    explicit AccountShare(AccountShareOptions options = {});

    /// Whether the account has clearly more than its fair share while capacity is lacking.
    bool isAbove(const domain::AccountId &account, domain::TimePoint now);
    void onDecided(const domain::AccountId &account, bool isAdmitted, domain::TimePoint now);
    /// A request was refused for lack of capacity.
    void onFull(domain::TimePoint now) { m_contendedUntil = now + m_options.contention; }

private:
    struct Count
    {
        double asked = 0;
        double admitted = 0;
    };
    struct Decided
    {
        domain::TimePoint at;
        domain::AccountId account;
        bool isAdmitted = false;
    };

    void expire(domain::TimePoint now);
    /// Most that an account gets when all admitted requests of the window are shared evenly among
    /// the accounts and none gets more than it asked for.
    double fairShare(double admitted) const;

    AccountShareOptions m_options;
    std::deque<Decided> m_decided;
    std::map<domain::AccountId, Count> m_counts;
    domain::TimePoint m_contendedUntil;
};

} // namespace oriolerill::routing
