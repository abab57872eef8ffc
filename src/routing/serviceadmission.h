#pragma once

#include "routing/accountshare.h"
#include "routing/callerrequest.h"
#include "routing/priorityadmission.h"
#include "routing/refusalreason.h"
#include "routing/returnforecast.h"
#include "routing/serviceranks.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>

namespace oriolerill::routing {

struct ServiceAdmissionOptions
{
    PriorityAdmissionOptions priority;
    AccountShareOptions accounts;
    ReturnForecastOptions returns;
    /// A returning caller is admitted at an expected wait this much longer than a new one: enough
    /// for one more request in an engine's queue.
    double returnLimitFactor = 1.5;
    /// Whether Retry-After follows the forecast of free slots. Off: with it, callers returned after
    /// their objective in bursts of some seconds, and were answered late instead of in time.
    bool isRetryAfterForecast = false;
};

/// A request to an engine, with the state of the engine that was chosen for it.
struct AdmissionRequest
{
    const Route &route;
    /// Null on public routes.
    const CallerAccount *account = nullptr;
    const CallerRequest &request;
    /// False for a further attempt of a request that was admitted before.
    bool isFirstAttempt = true;
    /// Milliseconds until a slot is free at the engine.
    double waitMs = 0;
    /// Longest wait, by the strictest objective of the service.
    double strictestLimitMs = 0;
    /// Share of an objective in which a request may wait.
    double maxWaitShare = 0;
};

struct AdmissionDecision
{
    /// None when the request is admitted.
    std::optional<RefusalReason> refusal;
    /// None where the service has no ranks.
    std::optional<std::uint32_t> urgency;
    bool isReturn = false;
};

/// Admission of requests to the engines of one service at this entry: by the expected wait, by the
/// ranks of routes and accounts where they are unequal, and by the shares of accounts. Not safe for
/// concurrent use.
class ServiceAdmission
{
public:
    explicit ServiceAdmission(ServiceRanks ranks, ServiceAdmissionOptions options = {});

    const ServiceRanks &ranks() const { return m_ranks; }
    AdmissionDecision decide(const AdmissionRequest &request, domain::TimePoint now);
    /// Retry-After of a refused caller; none where the service has no ranks.
    std::optional<domain::Duration> retryAfter(const Route &route, const CallerAccount *account,
            domain::Duration excess, double freePerSecond, std::mt19937_64 &random,
            domain::TimePoint now);
    std::optional<AdmissionLevel> takeChange(domain::TimePoint now);

private:
    std::optional<RefusalReason> decideRanked(const AdmissionRequest &request, std::size_t rank,
            bool isReturn, domain::TimePoint now);

    ServiceRanks m_ranks;
    ServiceAdmissionOptions m_options;
    PriorityAdmission m_priority;
    /// By rank.
    std::map<std::size_t, AccountShare> m_accounts;
    ReturnForecast m_returns;
    std::uint64_t m_drawn = 0;
};

} // namespace oriolerill::routing
