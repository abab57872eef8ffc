#include "relay/internal/crashtrials.h"

#include "config/versiontext.h"
#include "domain/rendezvous.h"
#include "observability/log.h"
#include "relay/internal/crashnotices.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>

#include <exception>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;
using domain::TimePoint;
using observability::logEvent;
using observability::Severity;

namespace {

constexpr auto StoreTimeout = std::chrono::milliseconds(1000);
/// Above it, claims of traits that are no longer refused are removed.
constexpr std::size_t MaxClaims = 64;

/// Ids of traits are any text that a caller sends, so the key has their hash.
std::string keyOf(const routing::RefusedTraits &refused)
{
    std::string traits;
    for (const routing::RequestTrait &trait : refused.traits)
        traits += toText(trait) + ',';
    return "crashtrials/" + std::to_string(domain::rendezvousWeight("crashtrials", traits));
}

/// The number of trials that a claim counts; one if it cannot be read.
int trialsOf(const std::string &claim)
{
    boost::system::error_code code;
    const boost::json::value value = boost::json::parse(claim, code);
    const auto *members = code ? nullptr : value.if_object();
    const auto *trials = members == nullptr ? nullptr : members->if_contains("trials");
    return trials == nullptr || !trials->is_int64() ? 1 : static_cast<int>(trials->as_int64());
}

} // namespace

CrashTrials::CrashTrials(asio::io_context &context, objectstore::IObjectStore &store,
        routing::CrashAttribution &crashes, domain::EntryId entry, CrashTrialsOptions options)
    : m_context(context)
    , m_store(store)
    , m_crashes(crashes)
    , m_entry(std::move(entry))
    , m_options(options)
{}

void CrashTrials::request(const routing::RefusedTraits &refused)
{
    const TimePoint now = TimePoint::clock::now();
    if (m_claims.size() >= MaxClaims)
        std::erase_if(m_claims, [this, now](const auto &claim) {
            return now - claim.second.nextTryAt > m_options.claimLifetime;
        });
    Claim &claim = m_claims[keyOf(refused)];
    if (now < claim.nextTryAt)
        return;
    claim.nextTryAt = now + m_options.claimInterval;
    asio::co_spawn(m_context, tryToClaim(refused), [](const std::exception_ptr &error) {
        if (error) {
            logEvent(Severity::Error, "trial_claim_failed",
                    {{"remedy", "report this line; the claim is tried again"}});
        }
    });
}

asio::awaitable<void> CrashTrials::tryToClaim(routing::RefusedTraits refused)
{
    // Counted from before the call: a late answer must not extend the claim.
    const TimePoint begunAt = TimePoint::clock::now();
    if (!co_await write(keyOf(refused), refused.isWholeRequest()))
        co_return;
    m_crashes.grantTrial(refused.traits, begunAt);
    logEvent(Severity::Info, "trial_granted",
            {{"traits", toText(refused.traits)}, {"crashes", toText(refused.crashes)}});
}

/// False when another entry holds the claim, or the store's answer is lost.
asio::awaitable<bool> CrashTrials::write(const std::string &key, bool isWholeRequest)
{
    const auto created
            = co_await m_store.create(key, "{\"entry\":\"" + m_entry.value() + "\",\"trials\":1}",
                    TimePoint::clock::now() + StoreTimeout);
    if (created) {
        m_claims[key].seen.reset();
        co_return true;
    }
    if (created.error().kind == domain::ErrorKind::Conflict)
        co_return co_await replace(key, isWholeRequest);
    logEvent(Severity::Warning, "trial_not_claimed",
            {{"key", key}, {"error", created.error().message}, {"remedy", "it is tried again"}});
    co_return false;
}

asio::awaitable<bool> CrashTrials::replace(const std::string &key, bool isWholeRequest)
{
    const auto current = co_await m_store.read(key, TimePoint::clock::now() + StoreTimeout);
    if (!current)
        co_return false;
    const TimePoint now = TimePoint::clock::now();
    Claim &claim = m_claims[key];
    const int trials = trialsOf(current->value);
    if (isWholeRequest && trials >= m_options.maxRequestTrials) {
        claim.nextTryAt = TimePoint::max();
        logEvent(Severity::Info, "trial_not_claimed",
                {{"key", key}, {"error", "the last trial of this request has been made"},
                        {"remedy", "change the request"}});
        co_return false;
    }
    if (claim.seen != current->version) {
        claim.seen = current->version;
        claim.seenAt = now;
        co_return false;
    }
    if (now - claim.seenAt < m_options.claimLifetime)
        co_return false;
    // A write that changes nothing would not change the version.
    const std::string value = "{\"entry\":\"" + m_entry.value()
            + "\",\"trials\":" + std::to_string(trials + 1) + ",\"replaces\":\""
            + config::toText(current->version) + "\"}";
    const auto updated = co_await m_store.update(
            key, value, current->version, TimePoint::clock::now() + StoreTimeout);
    claim.seen.reset();
    co_return updated.hasValue();
}

} // namespace oriolerill::relay::internal
