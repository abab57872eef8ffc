#include "routing/accountadmission.h"

#include <algorithm>
#include <limits>

namespace oriolerill::routing {

using domain::Error;
using domain::ErrorKind;

namespace {

constexpr auto DefaultRetryAfter = std::chrono::seconds(1);

AdmissionRefusal rateLimited(const char *message, const char *remedy)
{
    return {Error{ErrorKind::RateLimited, message, remedy}, DefaultRetryAfter};
}

AdmissionRefusal overloaded(const char *message)
{
    return {Error{ErrorKind::Overloaded, message, "send the request again after Retry-After"},
            DefaultRetryAfter};
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

double AccountAdmission::shareOf(
        const domain::AccountId &account, const ServiceLoad &load, std::uint32_t capacity) const
{
    const double own = m_usages.at(account).weight;
    double weights = own;
    for (const auto &[id, inFlight] : load.accounts) {
        if (id != account)
            weights += m_usages.at(id).weight;
    }
    // A single active account needs no fair share; the endpoints' own limits apply.
    if (weights == own)
        return std::numeric_limits<double>::infinity();
    return std::max(1.0, capacity * own / weights);
}

std::optional<AdmissionRefusal> AccountAdmission::enter(const config::Account &account,
        const domain::ServiceId &service, bool isBatch, std::uint32_t capacity,
        domain::TimePoint now)
{
    Usage &usage = usageOf(account, now);
    if (usage.inFlight >= account.maxConcurrency) {
        return rateLimited("the account has reached its limit of concurrent requests",
                "wait for an answer before the next request");
    }
    if (usage.tokens < 1)
        return rateLimited("the account has reached its request rate", "send requests more slowly");
    ServiceLoad &load = m_services[service];
    const bool isContended = load.inFlight + 1 > capacity * m_options.contention;
    if (isContended && isBatch && load.inFlight > 0)
        return overloaded("batch requests wait while interactive ones need the capacity");
    const auto own = load.accounts.find(account.id);
    const std::uint32_t used = own == load.accounts.end() ? 0 : own->second;
    if (isContended && used >= shareOf(account.id, load, capacity))
        return overloaded("the account has used its share of the capacity");
    usage.tokens -= 1;
    ++usage.inFlight;
    ++load.inFlight;
    ++load.accounts[account.id];
    return std::nullopt;
}

void AccountAdmission::leave(const domain::AccountId &account, const domain::ServiceId &service)
{
    const auto usage = m_usages.find(account);
    const auto load = m_services.find(service);
    if (usage == m_usages.end() || load == m_services.end())
        return;
    const auto used = load->second.accounts.find(account);
    if (used == load->second.accounts.end())
        return;
    --usage->second.inFlight;
    --load->second.inFlight;
    if (--used->second == 0)
        load->second.accounts.erase(used);
}

} // namespace oriolerill::routing
