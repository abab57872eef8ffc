#include "routing/accountadmission.h"

#include <algorithm>
#include <limits>

namespace oriolerill::routing {

using domain::Error;
using domain::ErrorKind;

namespace {

constexpr auto ShortPause = std::chrono::seconds(1);

AdmissionRefusal rateLimited(const char *message, const char *remedy)
{
    return {Error{ErrorKind::RateLimited, message, remedy}, ShortPause};
}

AdmissionRefusal overloaded(const char *message)
{
    return {Error{ErrorKind::Overloaded, message, "send the request again after Retry-After"},
            ShortPause};
}

} // namespace

AccountAdmission::AccountAdmission(AccountAdmissionOptions options)
    : m_options(options)
{}

AccountAdmission::Usage &AccountAdmission::usageOf(
        const config::Account &account, domain::TimePoint now)
{
    const double rate = account.requestsPerSecond;
    auto [position, isNew] = m_usages.try_emplace(account.id);
    Usage &usage = position->second;
    if (isNew) {
        usage.tokens = rate;
        usage.refilledAt = now;
    }
    const double elapsed = std::chrono::duration<double>(now - usage.refilledAt).count();
    usage.tokens = std::min(rate, usage.tokens + std::max(elapsed, 0.0) * rate);
    usage.refilledAt = std::max(usage.refilledAt, now);
    usage.weight = std::max(1U, account.weight);
    return usage;
}

double AccountAdmission::shareOf(const Usage &usage, std::uint32_t capacity) const
{
    // Without another active account there is nobody to be fair to; the endpoints' own limits hold.
    if (m_inFlight == usage.inFlight)
        return std::numeric_limits<double>::infinity();
    double weights = 0;
    for (const auto &[id, other] : m_usages) {
        if (other.inFlight > 0 || &other == &usage)
            weights += other.weight;
    }
    return std::max(1.0, capacity * usage.weight / weights);
}

std::optional<AdmissionRefusal> AccountAdmission::enter(
        const config::Account &account, bool isBatch, std::uint32_t capacity, domain::TimePoint now)
{
    Usage &usage = usageOf(account, now);
    if (usage.inFlight >= account.maxConcurrency) {
        return rateLimited("the account has reached its limit of concurrent requests",
                "wait for an answer before the next request");
    }
    if (usage.tokens < 1)
        return rateLimited("the account has reached its request rate", "send requests more slowly");
    const bool isContended = m_inFlight + 1 > capacity * m_options.contention;
    if (isContended && isBatch && m_inFlight > 0)
        return overloaded("batch requests wait while interactive ones need the capacity");
    if (isContended && usage.inFlight >= shareOf(usage, capacity))
        return overloaded("the account has used its share of the capacity");
    usage.tokens -= 1;
    ++usage.inFlight;
    ++m_inFlight;
    return std::nullopt;
}

void AccountAdmission::leave(const domain::AccountId &account)
{
    const auto usage = m_usages.find(account);
    if (usage == m_usages.end() || usage->second.inFlight == 0)
        return;
    --usage->second.inFlight;
    --m_inFlight;
}

} // namespace oriolerill::routing
