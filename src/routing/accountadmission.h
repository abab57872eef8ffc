#pragma once

#include "config/configsnapshot.h"
#include "domain/error.h"
#include "domain/timepoint.h"

#include <cstdint>
#include <map>
#include <optional>

namespace oriolerill::routing {

/// Why a request is not admitted, and when to come back.
struct AdmissionRefusal
{
    domain::Error error;
    domain::Duration retryAfter = {};
};

struct AccountAdmissionOptions
{
    /// Share of the capacity above which accounts are held to their weights and batch is refused.
    double contention = 0.5;
};

/// Admits requests by account: each has a limit on concurrency and rate, and under contention a
/// share of the capacity by weight. Not safe for concurrent use.
class AccountAdmission
{
public:
    explicit AccountAdmission(AccountAdmissionOptions options);

    /// Admits the request, which has to leave() later, or says why not. Capacity is the concurrency
    /// that this process may use, in requests.
    std::optional<AdmissionRefusal> enter(const config::Account &account, bool isBatch,
            std::uint32_t capacity, domain::TimePoint now);
    void leave(const domain::AccountId &account);

    std::uint32_t inFlight() const { return m_inFlight; }

private:
    struct Usage
    {
        std::uint32_t inFlight = 0;
        std::uint32_t weight = 1;
        double tokens = 0;
        domain::TimePoint refilledAt;
    };

    Usage &usageOf(const config::Account &account, domain::TimePoint now);
    double shareOf(const Usage &usage, std::uint32_t capacity) const;

    AccountAdmissionOptions m_options;
    std::map<domain::AccountId, Usage> m_usages;
    std::uint32_t m_inFlight = 0;
};

} // namespace oriolerill::routing
