#include "routing/serviceadmission.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace oriolerill::routing {

namespace {

/// Uniform in [0, 1), from the id that the caller chooses for each attempt. Not from the account or
/// the prompt, so that a refused caller is drawn anew when it returns.
/// The seed distinguishes requests without an id, which would all be drawn alike.
double drawOf(const CallerRequest &request, std::uint64_t seed)
{
    constexpr unsigned Bits = 32;
    const std::string &id = request.id.value();
    const std::uint64_t hash = XXH64(id.data(), id.size(), id.empty() ? seed : 0);
    return static_cast<double>(hash >> Bits) / static_cast<double>(1ULL << Bits);
}

} // namespace

ServiceAdmission::ServiceAdmission(ServiceRanks ranks, ServiceAdmissionOptions options)
    : m_ranks(std::move(ranks))
    , m_options(options)
    , m_priority(m_ranks.count(), options.priority)
    , m_returns(options.returns)
{}

AdmissionDecision ServiceAdmission::decide(const AdmissionRequest &request, domain::TimePoint now)
{
    const std::size_t rank = m_ranks.indexOf(rankOf(request.route, request.account));
    AdmissionDecision decision;
    if (m_ranks.areUnequal()) {
        decision.urgency = m_ranks.urgency(rank);
        decision.isReturn = request.isFirstAttempt && request.request.deadline
                && m_returns.isReturn(request.route.name, *request.request.deadline - now, now);
    }
    AccountShare *accounts = nullptr;
    if (request.account != nullptr && request.isFirstAttempt)
        accounts = &m_accounts.try_emplace(rank, m_options.accounts).first->second;
    // An account may use a free slot at any time.
    if (accounts != nullptr && request.waitMs > 0 && accounts->isAbove(request.account->id, now))
        decision.refusal = RefusalReason::AccountShare;
    else if (m_ranks.areUnequal())
        decision.refusal = decideRanked(request, rank, decision.isReturn, now);
    else if (request.waitMs > request.strictestLimitMs)
        decision.refusal = RefusalReason::Full;
    if (accounts != nullptr) {
        accounts->onDecided(request.account->id, !decision.refusal, now);
        if (decision.refusal && decision.refusal != RefusalReason::AccountShare)
            accounts->onFull(now);
    }
    return decision;
}

std::optional<RefusalReason> ServiceAdmission::decideRanked(
        const AdmissionRequest &request, std::size_t rank, bool isReturn, domain::TimePoint now)
{
    const double objectiveMs
            = std::chrono::duration<double, std::milli>(request.route.objective).count();
    const double factor = isReturn ? m_options.returnLimitFactor : 1;
    RankedRequest ranked;
    ranked.rank = rank;
    ranked.draw = drawOf(request.request, ++m_drawn);
    ranked.waitMs = request.waitMs;
    ranked.limitMs = objectiveMs * request.maxWaitShare;
    ranked.strictestLimitMs = request.strictestLimitMs;
    ranked.limitFactor = factor;
    if (!request.isFirstAttempt) {
        return m_priority.waitMs(rank, request.waitMs) > ranked.limitMs
                ? std::optional(RefusalReason::Full)
                : std::nullopt;
    }
    switch (m_priority.decide(ranked, now)) {
    case RankedVerdict::Admitted:
        break;
    case RankedVerdict::Full:
        return RefusalReason::Full;
    case RankedVerdict::Reserved:
        return RefusalReason::Priority;
    }
    return std::nullopt;
}

std::optional<domain::Duration> ServiceAdmission::retryAfter(const Route &route,
        const CallerAccount *account, domain::Duration excess, double freePerSecond,
        std::mt19937_64 &random, domain::TimePoint now)
{
    if (!m_options.isRetryAfterForecast || !m_ranks.areUnequal())
        return std::nullopt;
    return m_returns.retryAfter(
            m_ranks.indexOf(rankOf(route, account)), excess, freePerSecond, random, now);
}

std::optional<AdmissionLevel> ServiceAdmission::takeChange(domain::TimePoint now)
{
    return m_ranks.areUnequal() ? m_priority.takeChange(now) : std::nullopt;
}

} // namespace oriolerill::routing
