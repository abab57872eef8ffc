#pragma once

#include "routing/boundedstarts.h"
#include "routing/callerrequest.h"
#include "routing/coldallowance.h"
#include "routing/crashattribution.h"
#include "routing/endpointlimits.h"
#include "routing/endpointlist.h"
#include "routing/endpointload.h"
#include "routing/endpointnotices.h"
#include "routing/placement.h"
#include "routing/plainadmission.h"
#include "routing/publishedwithdrawals.h"
#include "routing/refusalreason.h"
#include "routing/remotecost.h"
#include "routing/retrybudget.h"
#include "routing/serviceadmission.h"
#include "routing/servingconfig.h"
#include "routing/startpace.h"
#include "routing/weightsrequirement.h"
#include "routing/workingset.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <variant>

namespace oriolerill::routing {

struct DispatcherOptions
{
    domain::EntryId entry;
    domain::DataCentreId dataCentre;
    /// Region of each data centre, from the settings.
    std::map<domain::DataCentreId, domain::RegionId> regions;
    /// Operator's bound on retries in each window, over all entries: this share of a service's
    /// requests, plus a fixed number.
    double retryRatio = 0.2;
    double retryExtra = 100;
    double retryWindowSeconds = 10;
    /// Share of that bound which is used; the rest covers entries that are not counted yet.
    double retryUsedShare = 0.8;
    /// A cold endpoint gets at most its stated rate times the overage, plus the slack, in requests
    /// a second.
    double coldOverage = 1.5;
    double coldSlack = 5;
    WeightsRequirementOptions weights;
    /// Its data centre is that of the dispatcher.
    BoundedStartsOptions starts;
    /// A request is given no time beyond the bound of a newer version if it is expected to end
    /// within this share of the time until then; an engine may be slower than its reports state.
    double stopAtShare = 0.6;
    /// Other requests must be expected to begin this long before they are withdrawn: queues grow
    /// after the report on which a choice is based.
    domain::Duration queueGrowth = std::chrono::milliseconds(1000);
    ColdAllowanceOptions cold;
    /// Its share and window of the cold bound are those of the allowance.
    StartPaceOptions startPace;
    EndpointLimitsOptions limits;
    CrashAttributionOptions crashes;
    EndpointLoadOptions load;
    EndpointListOptions list;
    PlacementOptions placement;
    PlainAdmissionOptions plain;
    RemoteCostOptions remote;
    WorkingSetOptions workingSet;
    ServiceAdmissionOptions admission;
    /// A request whose expected wait exceeds this share of the strictest objective of its service
    /// is refused, so that slots go to requests that are answered in time. One bound for all kinds
    /// of requests of a service, so that none of them is starved by the others; the rest of the
    /// objective covers the processing of the prompt and load that reports do not show yet.
    double maxWaitShare = 0.45;
    /// Bounds on the Retry-After of a refused caller. Between them it is the sum of the minimum and
    /// the time in which the endpoints work off their queues, times a random factor from 1 to 2.
    /// Over all engines a slot is released every few milliseconds, so an early retry is as likely
    /// to succeed as a late one, and only an early answer is in time for the caller.
    domain::Duration minRetryAfter = std::chrono::milliseconds(60);
    domain::Duration maxRetryAfter = std::chrono::milliseconds(1500);
    /// The minimum when no endpoint may take the request at all, a condition that lasts longer.
    domain::Duration minRetryAfterNoEndpoint = std::chrono::milliseconds(300);
    /// Number of entries assumed until agents report a count, about a second after the start. More
    /// than in the largest deployment at present, because after all entries were killed at once
    /// each of them starts without a count.
    std::size_t assumedEntries = 256;
    std::uint64_t seed = 1;
};

/// A request for which an endpoint is to be chosen.
struct DispatchQuery
{
    const Route *route = nullptr;
    /// Null on public routes.
    const CallerAccount *account = nullptr;
    const CallerRequest *request = nullptr;
    domain::ServiceId service;
    /// Endpoints that were already tried for this request.
    std::set<domain::EndpointId> excluded;
    /// Version of the weights that generated the first part of the answer, when a stream is
    /// continued.
    std::optional<std::uint64_t> pinnedWeights;
    /// A refused caller is told to come back, so a time slot is reserved for it.
    bool mayReserveSlot = true;
};

struct Dispatch
{
    domain::EndpointId endpoint;
    domain::SocketAddress address;
    /// Start of the process that was chosen; zero when not known.
    std::uint64_t startedAtMs = 0;
    std::optional<std::uint64_t> weightsVersion;
    /// Version that the endpoint serves, and the newest named one; zero when unknown.
    std::uint64_t servedWeights = 0;
    std::uint64_t newestWeights = 0;
    /// Oldest version that was allowed at the choice; zero when any version is allowed.
    std::uint64_t requiredWeights = 0;
    double expectedStartMs = 0;
    /// Queue ahead of the request at a plain endpoint, in service times.
    double queuedRuns = 0;
    /// Data centre of an engine; empty for other endpoints.
    domain::DataCentreId dataCentre;
    /// Latest time at which the request may begin, because a newer version than the served one is
    /// named; none while no newer version is.
    std::optional<domain::TimePoint> beginDeadline;
    /// End of the time that the engine is given for the request, so that it refuses what it has not
    /// begun by then; none when the request may be in progress at that time.
    std::optional<domain::TimePoint> stopAt;
    bool isCold = false;
    /// The endpoint has stated a rate limit, and the request uses one of this entry's time slots.
    bool isLimited = false;
    /// The request tries whether traits that have crashed engines are answered by now.
    bool isTrial = false;
    /// 0 is the most urgent, 9 the least; none where the service has no ranks.
    std::optional<std::uint32_t> urgency = std::nullopt;
    /// The caller was refused before and returns.
    bool isReturn = false;
};

struct Refusal
{
    RefusalReason reason = RefusalReason::NoEndpoint;
    domain::Duration retryAfter = domain::Duration::zero();
    /// Endpoints of the service that are listed, and those that could take a request.
    std::size_t listed = 0;
    std::size_t usable = 0;
    /// Engines excluded because of the version of their weights, and the required version.
    std::size_t outdated = 0;
    std::uint64_t requiredWeights = 0;
    /// Engines at which the request is not expected to begin before the bound of a newer version.
    std::size_t tooLate = 0;
    /// Why the request is refused for its traits.
    std::optional<TraitsUnusable> traits = std::nullopt;
    /// As in Dispatch.
    std::optional<std::uint32_t> urgency = std::nullopt;
};

using DispatchDecision = std::variant<Dispatch, Refusal>;

/// Chooses the endpoint for each request of this entry, or refuses the request. Holds the entry's
/// view of configuration, endpoints and their load. No I/O; not safe for concurrent use.
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherOptions options);

    /// Applies a configuration unless it is no newer than the one in force; true when applied.
    bool setConfig(std::shared_ptr<const ServingConfig> config);
    std::shared_ptr<const ServingConfig> config() const { return m_config; }
    void setWithdrawn(std::set<domain::DataCentreId> dataCentres);
    /// Data centres that agents publish as withdrawn while the store does not answer this process.
    void setPublishedWithdrawn(std::set<domain::DataCentreId> dataCentres);
    const std::set<domain::DataCentreId> &withdrawn() const { return m_withdrawn; }
    bool isEndpointAt(const domain::SocketAddress &address)
    {
        return byAddress().count(address) > 0;
    }
    EndpointList &endpoints() { return m_endpoints; }
    const EndpointList &endpoints() const { return m_endpoints; }
    EndpointNotices &notices() { return m_notices; }
    const EndpointNotices &notices() const { return m_notices; }
    EndpointLimits &limits() { return m_limits; }
    const EndpointLimits &limits() const { return m_limits; }
    CrashAttribution &crashes() { return m_crashes; }
    const CrashAttribution &crashes() const { return m_crashes; }
    StartPace &startPace() { return m_startPace; }
    const PlainAdmission &plainAdmission() const { return m_plain; }
    RemoteCost &remoteCost() { return m_remote; }
    const RemoteCost &remoteCost() const { return m_remote; }
    PublishedWithdrawals &publishedWithdrawals() { return m_publishedWithdrawals; }
    WeightsRequirement &weights() { return m_weights; }
    const WeightsRequirement &weights() const { return m_weights; }
    /// Sets the number of entries and the rank of this one.
    void setShare(EntryShare share);
    const EntryShare &share() const { return m_share; }

    /// Applies a report of the engine at an address; startedAtMs identifies the engine's process.
    void onReport(const domain::SocketAddress &address, std::uint64_t startedAtMs,
            EngineReport report, domain::TimePoint now);
    EndpointLoad &load(const domain::EndpointId &endpoint);
    /// Null without any information about the endpoint.
    const EndpointLoad *findLoad(const domain::EndpointId &endpoint) const;
    /// This VM was suspended for a time that the steady clock does not include: required versions
    /// apply and retained endpoints are removed that much earlier, and reports are that much older.
    void onSuspended(domain::Duration time);

    /// This process did not run between these times: it may have received a naming late,
    /// and pending answers are delivered late.
    void onPaused(domain::TimePoint pausedAt, domain::TimePoint resumedAt);

    /// Engines of the service that this entry sends to and subscribes to; null for services without
    /// engines.
    const WorkingSet *workingSet(const domain::ServiceId &service);

    /// Picks one of the services among which a route splits its requests, at random by weight.
    domain::ServiceId drawService(const Route &route);
    void onRequest(const domain::ServiceId &service, domain::TimePoint now);
    bool tryRetry(const domain::ServiceId &service, domain::TimePoint now);
    /// Requests for the service since the last call.
    std::uint64_t takeDemand(const domain::ServiceId &service);
    DispatchDecision choose(const DispatchQuery &query, domain::TimePoint now);
    /// Admitted share of the service's requests after a noticeable change; at most once a second.
    std::optional<AdmissionLevel> takeAdmissionChange(
            const domain::ServiceId &service, domain::TimePoint now);
    /// Maximum number of idle connections that this entry keeps to one endpoint of the service:
    /// half of its part of the endpoint's connection limit; the other half is for requests in
    /// progress.
    std::size_t maxIdleConnections(const domain::ServiceId &service) const;
    /// Whether the endpoint may still get the request that it was chosen for. It may have left
    /// since then, or its data centre may have been withdrawn.
    bool mayStillTake(const Dispatch &dispatch, domain::TimePoint now);
    /// The request was handed to the chosen endpoint.
    void onSent(const Dispatch &dispatch, domain::TimePoint now);
    /// The answer to the request that was sent at this time has begun.
    void onAnswerBegun(const Dispatch &dispatch, domain::TimePoint sentAt, domain::TimePoint now);
    /// The successful answer to the request that was sent at this time states this load.
    void onAnswerLoad(const Dispatch &dispatch, const AnswerLoad &load, domain::TimePoint sentAt,
            domain::TimePoint now);
    /// The request that was sent at this time has ended; onAnswerBegun() was called if its answer
    /// had begun.
    void onEnded(const Dispatch &dispatch, domain::TimePoint sentAt, domain::TimePoint now);
    /// The request was not sent to the chosen endpoint.
    void onNotSent(const Dispatch &dispatch);

private:
    /// Result of the evaluation of some endpoints for one request.
    struct Candidates
    {
        std::vector<PlacementCandidate> usable;
        /// Endpoints with a recent failure or refusal, a pending weights switch, or reports that
        /// have stopped.
        std::vector<PlacementCandidate> fallback;
        /// Endpoints in slow start that take no more at present unless no other one can.
        std::vector<PlacementCandidate> paced;
        std::map<domain::EndpointId, std::optional<std::uint64_t>> versions;
        /// Oldest version of the weights that the request may begin on.
        std::uint64_t requiredWeights = 0;
        /// Engines without the required version, or with another one than that of the stream's
        /// first part.
        std::size_t outdated = 0;
        /// Engines at which the request may begin after the bound of a newer version.
        std::size_t tooLate = 0;
        std::optional<domain::TimePoint> backoffUntil;
        /// Earliest unreserved time slot of this entry at an endpoint that is at its rate limit.
        std::optional<domain::TimePoint> limitedUntil;
        const ListedEndpoint *limited = nullptr;

        /// A request is sent to a fallback endpoint only if no endpoint is usable.
        const std::vector<PlacementCandidate> &pool() const
        {
            return usable.empty() ? fallback : usable;
        }
    };

    void evaluate(const ListedEndpoint &endpoint, const ServiceSpec &service,
            const DispatchQuery &query, domain::TimePoint now, Candidates &candidates);
    Candidates candidatesFor(
            const ServiceSpec &service, const DispatchQuery &query, domain::TimePoint now);
    /// Makes endpoints in slow start usable where all others would keep the request waiting too
    /// long.
    void addPaced(const ServiceSpec &service, domain::TimePoint now, Candidates &candidates);
    using AddressIndex = std::map<domain::SocketAddress, std::vector<domain::EndpointId>>;

    /// Endpoints by address; an index, because each engine is reported ten times a second.
    const AddressIndex &byAddress();
    std::size_t listedCount(const domain::ServiceId &service) const;
    bool isWithdrawn(const domain::DataCentreId &dataCentre) const;
    bool mayTake(const ListedEndpoint &endpoint, const DispatchQuery &query) const;
    bool isCold(const ListedEndpoint &endpoint, const ServiceSpec &service,
            domain::TimePoint now) const;
    bool hasColdRoom(
            const ListedEndpoint &endpoint, const ServiceSpec &service, domain::TimePoint now);
    std::optional<std::uint64_t> weightsOf(const ListedEndpoint &endpoint,
            const domain::ModelId &model, domain::TimePoint now) const;
    double expectedStartMs(const ListedEndpoint &endpoint, const ServiceSpec &service,
            const CallerRequest &request, domain::TimePoint now);
    /// End of the time that an engine is given for a request that must begin by the deadline; none
    /// when the request may be in progress at that time.
    std::optional<domain::TimePoint> stopAt(const domain::EndpointId &engine,
            const ServiceSpec &service, const CallerRequest &request,
            domain::Duration expectedStart, domain::TimePoint beginDeadline, domain::TimePoint now);
    /// Whether the request begins before the bound of a newer version than the engine serves.
    bool beginsInTime(const ListedEndpoint &engine, std::uint64_t served,
            const ServiceSpec &service, const CallerRequest &request,
            domain::Duration expectedStart, domain::TimePoint now);
    PlainLoad plainLoad(const ListedEndpoint &endpoint, domain::TimePoint now);
    /// The refusal of a request that no plain endpoint can answer in time; none when it is
    /// admitted.
    std::optional<Refusal> refusePlain(
            const Candidates &candidates, const DispatchQuery &query, domain::TimePoint now);
    double maxWaitMs(const domain::ServiceId &service) const;
    Refusal refuse(RefusalReason reason, double waitMs);
    ServiceAdmission &admission(const domain::ServiceId &service);
    /// Slots of the service that become free in a second for requests of this entry.
    double freePerSecond(const ServiceSpec &service, std::size_t usable);
    Refusal refuseTraits(const TraitsUnusable &unusable, domain::TimePoint now);
    Refusal refuseWithoutCandidate(
            const Candidates &candidates, const DispatchQuery &query, domain::TimePoint now);
    RetryBudget &retries(const domain::ServiceId &service, domain::TimePoint now);
    RetryBudgetOptions retryOptions() const;

    DispatcherOptions m_options;
    std::shared_ptr<const ServingConfig> m_config;
    /// Strictest objective of the routes to each service.
    std::map<domain::ServiceId, domain::Duration> m_objectives;
    std::set<domain::DataCentreId> m_withdrawn;
    PublishedWithdrawals m_publishedWithdrawals;
    std::set<domain::DataCentreId> m_publishedWithdrawn;
    EndpointList m_endpoints;
    EndpointNotices m_notices;
    WeightsRequirement m_weights;
    BoundedStarts m_starts;
    ColdAllowance m_cold;
    StartPace m_startPace;
    EndpointLimits m_limits;
    CrashAttribution m_crashes;
    Placement m_placement;
    PlainAdmission m_plain;
    RemoteCost m_remote;
    std::map<domain::EndpointId, EndpointLoad> m_loads;
    std::map<domain::ServiceId, RetryBudget> m_retries;
    std::map<domain::ServiceId, std::uint64_t> m_demand;
    std::map<domain::ServiceId, ServiceAdmission> m_admissions;
    struct CachedWorkingSet
    {
        WorkingSet set;
        /// Generations of the list and of the withdrawals from which the set was built.
        std::uint64_t generation = 0;
        std::uint64_t withdrawalsGeneration = 0;
    };
    std::map<domain::ServiceId, CachedWorkingSet> m_workingSets;
    std::uint64_t m_withdrawalsGeneration = 0;
    AddressIndex m_byAddress;
    /// Generation of the list from which the index was built; the list starts at zero.
    std::uint64_t m_byAddressGeneration = 0;
    EntryShare m_share;
    std::mt19937_64 m_random;
};

} // namespace oriolerill::routing
