#include "relay/internal/crashnotices.h"

#include "observability/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;
using domain::TimePoint;
using observability::logEvent;
using observability::Severity;
using routing::TraitsAllowed;
using routing::TraitsRefused;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto ExpiryInterval = std::chrono::milliseconds(1000);
constexpr std::size_t MaxLogged = 8;

const char *reasonText(TraitsAllowed::Reason reason)
{
    switch (reason) {
    case TraitsAllowed::Reason::Answered:
        return "answered";
    case TraitsAllowed::Reason::OthersToBlame:
        return "others_to_blame";
    case TraitsAllowed::Reason::Expired:
        return "expired";
    }
    return "expired";
}

/// Logs one change of what is refused.
struct ChangeLogger
{
    TimePoint now;

    void operator()(const TraitsRefused &change) const
    {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
                change.refused.trialAt - now);
        logEvent(Severity::Warning, "crashing_traits_refused",
                {{"traits", toText(change.refused.traits)},
                        {"crashes", toText(change.refused.crashes)}, {"trial_in_ms", wait.count()},
                        {"remedy",
                                "change the requests that have all of these in common, or the "
                                "weights"}});
    }
    void operator()(const TraitsAllowed &change) const
    {
        logEvent(Severity::Info, "crashing_traits_allowed",
                {{"traits", toText(change.refused.traits)}, {"reason", reasonText(change.reason)},
                        {"crashes", toText(change.refused.crashes)}});
    }
};

void report(RelayContext &context, const routing::CrashAttribution::Update &update, TimePoint now)
{
    for (const routing::AttributionChange &change : update.changes) {
        std::visit(ChangeLogger{now}, change);
        context.metrics.increment("oriolerill_relay_crashing_traits_changes_total",
                {{"change",
                        std::holds_alternative<TraitsRefused>(change) ? "refused" : "allowed"}});
    }
    if (!update.changes.empty()) {
        context.metrics.set("oriolerill_relay_crashing_traits_refused",
                static_cast<double>(context.dispatcher.crashes().refused().size()));
    }
    if (update.isNews && context.onCrashNews)
        context.onCrashNews();
}

} // namespace

std::string toText(const routing::RequestTrait &trait)
{
    return (trait.isWholeRequest() ? "request:" : "") + trait.value();
}

std::string toText(const std::vector<routing::RequestTrait> &traits)
{
    std::string text;
    for (std::size_t i = 0; i < std::min(traits.size(), MaxLogged); ++i)
        text += (i == 0 ? "" : ",") + toText(traits[i]);
    return text;
}

std::string toText(const std::vector<routing::EngineCrash> &crashes)
{
    std::string text;
    for (std::size_t i = 0; i < std::min(crashes.size(), MaxLogged); ++i) {
        text += (i == 0 ? "" : ",") + crashes[i].engine.id.value() + '/'
                + crashes[i].request.value();
    }
    return text;
}

void applyCrash(RelayContext &context, routing::EngineCrash crash)
{
    logEvent(Severity::Warning, "engine_crashed",
            {{"endpoint", crash.engine.id.value()}, {"started_at_ms", crash.engine.startedAtMs},
                    {"request", crash.request.value()}, {"weights", crash.weightsVersion},
                    {"traits", toText(crash.traits)},
                    {"remedy", "requests are refused when further crashes have these in common"}});
    context.metrics.increment("oriolerill_relay_engine_crashes_total");
    const TimePoint now = TimePoint::clock::now();
    report(context, context.dispatcher.crashes().onCrash(std::move(crash), now), now);
}

void applyAnswerBegun(RelayContext &context, const std::vector<routing::RequestTrait> &traits,
        std::uint64_t weightsVersion)
{
    const TimePoint now = TimePoint::clock::now();
    report(context, context.dispatcher.crashes().onAnswerBegun(traits, weightsVersion, now), now);
}

void applyEvidence(RelayContext &context, const protocol::CrashEvidence &evidence)
{
    const TimePoint now = TimePoint::clock::now();
    report(context, context.dispatcher.crashes().onEvidence(evidence, now), now);
}

asio::awaitable<void> expireEvidence(RelayContext &context)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;) {
        timer.expires_after(ExpiryInterval);
        co_await timer.async_wait(UseTuple);
        const TimePoint now = TimePoint::clock::now();
        report(context, context.dispatcher.crashes().expire(now), now);
    }
}

} // namespace oriolerill::relay::internal
