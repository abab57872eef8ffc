#pragma once

#include "config/configsnapshot.h"
#include "domain/error.h"
#include "domain/timepoint.h"

#include <cstdint>
#include <map>
#include <optional>

namespace oriolerill::routing {

/// Why a request is not admitted, and when it may be sent again.
struct AdmissionRefusal
{
    domain::Error error;
    domain::Duration retryAfter = {};
};

struct AccountAdmissionOptions
{
    /// Share of the capacity above which each account is limited to its share by weight, and batch
    /// requests are refused.
    double contention = 0.5;
};

/// Admits requests by account: each has a limit on concurrency and rate over all services, and a
/// share by weight of each service's capacity under contention. Not safe for concurrent use.
class AccountAdmission
{
public:
    explicit AccountAdmission(AccountAdmissionOptions options);

    /// Admits the request, for which leave() must be called later, or returns why it is not
    /// admitted. Capacity is the concurrency of the service that this process may use, in requests.
    std::optional<AdmissionRefusal> enter(const config::Account &account,
            const domain::ServiceId &service, bool isBatch, std::uint32_t capacity,
            domain::TimePoint now);
    void leave(const domain::AccountId &account, const domain::ServiceId &service);

private:
    struct Usage
    {
        std::uint32_t inFlight = 0;
        std::uint32_t weight = 1;
        double tokens = 0;
        domain::TimePoint refilledAt;
    };
    /// Requests in flight at one service.
    struct ServiceLoad
    {
        std::uint32_t inFlight = 0;
        std::map<domain::AccountId, std::uint32_t> accounts;
    };

    Usage &usageOf(const config::Account &account, domain::TimePoint now);
    double shareOf(const domain::AccountId &account, const ServiceLoad &load,
            std::uint32_t capacity) const;

    AccountAdmissionOptions m_options;
    std::map<domain::AccountId, Usage> m_usages;
    std::map<domain::ServiceId, ServiceLoad> m_services;
};

} // namespace oriolerill::routing
