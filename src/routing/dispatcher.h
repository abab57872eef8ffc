#pragma once

#include "routing/callerrequest.h"
#include "routing/coldallowance.h"
#include "routing/endpointlimits.h"
#include "routing/endpointlist.h"
#include "routing/endpointload.h"
#include "routing/endpointnotices.h"
#include "routing/placement.h"
#include "routing/publishedwithdrawals.h"
#include "routing/retrybudget.h"
#include "routing/servingconfig.h"
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
    /// Operator's bound on repeats: this share of a service's requests, and so many more, in each
    /// window, over all entries.
    double retryRatio = 0.2;
    double retryExtra = 100;
    double retryWindowSeconds = 10;
    /// Share of that bound which is used; the rest covers entries that are not known yet.
    double retryUsedShare = 0.8;
    /// A cold endpoint bears its stated rate times this, and so many requests more.
    double coldOverage = 1.5;
    double coldSlack = 5;
    WeightsRequirementOptions weights;
    ColdAllowanceOptions cold;
    EndpointLimitsOptions limits;
    EndpointLoadOptions load;
    EndpointListOptions list;
    PlacementOptions placement;
    WorkingSetOptions workingSet;
    /// A request that would wait for a place longer than this share of the strictest objective of
    /// its service is refused: a place is better given to a request that is answered in time. One
    /// bound for all kinds of requests of a service, so that none of them is starved by the others;
    /// the rest of the objective is for reading the prompt and for what reports do not show yet.
    double longestWaitShare = 0.45;
    /// When a refused caller is told to come back: after this time, spread over as much again, plus
    /// what the endpoints need to end their queues. A place comes free each few milliseconds over
    /// all engines, so coming back soon has the same chance as coming back late, and only an answer
    /// soon is in time for the caller.
    domain::Duration shortestReturn = std::chrono::milliseconds(60);
    domain::Duration longestReturn = std::chrono::milliseconds(1500);
    /// The same when no endpoint may take the request at all, which does not pass so quickly.
    domain::Duration shortestReturnWithout = std::chrono::milliseconds(300);
    /// Entries assumed until agents tell how many they hear of, about a second after the start.
    /// More than there are in the largest deployment of today: after all entries were killed at
    /// once, each of them is in this state.
    std::size_t assumedEntries = 256;
    std::uint64_t seed = 1;
};

/// A request that is to be placed.
struct DispatchQuery
{
    const Route *route = nullptr;
    /// Null on public routes.
    const CallerAccount *account = nullptr;
    const CallerRequest *request = nullptr;
    domain::ServiceId service;
    /// Endpoints that have had this request.
    std::set<domain::EndpointId> excluded;
    /// Version of the weights of the answer's first part, when a stream is continued.
    std::optional<std::uint64_t> pinnedWeights;
};

struct Dispatch
{
    domain::EndpointId endpoint;
    domain::SocketAddress address;
    /// Start of the process that was chosen; zero when not known.
    std::uint64_t startedAtMs = 0;
    std::optional<std::uint64_t> weightsVersion;
    /// Version that the endpoint is known to serve, and the newest one named; zero when unknown.
    std::uint64_t servedWeights = 0;
    std::uint64_t newestWeights = 0;
    /// Oldest version that was allowed at the choice; zero while every version will do.
    std::uint64_t requiredWeights = 0;
    double expectedStartMs = 0;
    bool isCold = false;
    /// The endpoint has named a limit, and the request uses one of this entry's slots.
    bool isLimited = false;
};

enum class RefusalReason {
    /// No endpoint of the service may take it.
    NoEndpoint,
    /// All would start it too late.
    Full,
    /// An endpoint could take it but for the limit that it has named.
    Limited,
};

struct Refusal
{
    RefusalReason reason = RefusalReason::NoEndpoint;
    domain::Duration retryAfter = domain::Duration::zero();
    /// Endpoints of the service that are listed, and those that could take a request.
    std::size_t listed = 0;
    std::size_t usable = 0;
    /// Engines that were left out for the weights that they hold, and the version required.
    std::size_t outdated = 0;
    std::uint64_t requiredWeights = 0;
};

using DispatchDecision = std::variant<Dispatch, Refusal>;

/// Decides where each request of this entry goes, or that it is refused. Holds the entry's view of
/// configuration, endpoints and their load. No I/O; not safe for concurrent use.
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherOptions options);

    /// Takes a configuration unless it is older than the one in force; true when taken.
    bool setConfig(std::shared_ptr<const ServingConfig> config);
    std::shared_ptr<const ServingConfig> config() const { return m_config; }
    void setWithdrawn(std::set<domain::DataCentreId> dataCentres);
    /// Data centres that agents state as withdrawn while the store does not answer this process.
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
    PublishedWithdrawals &publishedWithdrawals() { return m_publishedWithdrawals; }
    WeightsRequirement &weights() { return m_weights; }
    const WeightsRequirement &weights() const { return m_weights; }
    /// How many entries there are, and the place of this one among them.
    void setShare(EntryShare share);
    const EntryShare &share() const { return m_share; }

    /// A report of the engine at an address; startedAtMs tells which process there it is about.
    void onReport(const domain::SocketAddress &address, std::uint64_t startedAtMs,
            EngineReport report, domain::TimePoint now);
    EndpointLoad &load(const domain::EndpointId &endpoint);
    /// This machine stood still for a time that the clock did not count: what binds from a point
    /// in time on binds so much earlier, and no report is fresh any more.
    void onSuspended(domain::Duration time);

    /// Engines of the service that this entry sends to and wants reports of; null for services
    /// without engines.
    const WorkingSet *workingSet(const domain::ServiceId &service);

    /// Draws one of the services among which a route splits its requests.
    domain::ServiceId drawService(const Route &route);
    void onRequest(const domain::ServiceId &service, domain::TimePoint now);
    bool tryRetry(const domain::ServiceId &service, domain::TimePoint now);
    /// Requests for the service since the last call.
    std::uint64_t takeDemand(const domain::ServiceId &service);
    DispatchDecision choose(const DispatchQuery &query, domain::TimePoint now);
    /// Idle connections to one endpoint of the service that this entry may keep: its part of what
    /// the endpoint takes from all entries, less the half for requests in progress.
    std::size_t maxIdleConnections(const domain::ServiceId &service) const;
    /// The request was handed to the endpoint that was chosen.
    void onSent(const Dispatch &dispatch, domain::TimePoint now);
    /// The request that was chosen for an endpoint does not go there.
    void onNotSent(const Dispatch &dispatch);

private:
    /// What one look at some endpoints has found.
    struct Candidates
    {
        std::vector<PlacementCandidate> usable;
        /// Endpoints with a recent failure, a pending weights switch, or no reports any more.
        std::vector<PlacementCandidate> paused;
        std::map<domain::EndpointId, std::optional<std::uint64_t>> versions;
        /// Oldest version of the weights that the request may begin on.
        std::uint64_t requiredWeights = 0;
        /// Engines without the required version, or with another one than the stream began on.
        std::size_t outdated = 0;
        std::optional<domain::TimePoint> backoffUntil;
        /// Earliest slot of this entry, not yet promised to a caller, at an endpoint that is at its
        /// limit.
        std::optional<domain::TimePoint> limitedUntil;
        const ListedEndpoint *limited = nullptr;

        /// With nothing else left, an endpoint that failed lately is still worth a try.
        const std::vector<PlacementCandidate> &pool() const
        {
            return usable.empty() ? paused : usable;
        }
    };

    void look(const ListedEndpoint &endpoint, const ServiceSpec &service,
            const DispatchQuery &query, domain::TimePoint now, Candidates &candidates);
    Candidates candidatesFor(
            const ServiceSpec &service, const DispatchQuery &query, domain::TimePoint now);
    using AddressIndex = std::map<domain::SocketAddress, std::vector<domain::EndpointId>>;

    /// Endpoints by address; reports come for each engine ten times a second.
    const AddressIndex &byAddress();
    std::size_t listedCount(const domain::ServiceId &service) const;
    bool isWithdrawn(const domain::DataCentreId &dataCentre) const;
    bool mayTake(const ListedEndpoint &endpoint, const DispatchQuery &query) const;
    bool isCold(const ListedEndpoint &endpoint, const ServiceSpec &service,
            domain::TimePoint now) const;
    std::optional<std::uint64_t> weightsOf(const ListedEndpoint &endpoint,
            const domain::ModelId &model, domain::TimePoint now) const;
    double expectedStartMs(const ListedEndpoint &endpoint, const ServiceSpec &service,
            const CallerRequest &request, domain::TimePoint now);
    double longestWaitMs(const domain::ServiceId &service) const;
    Refusal refuse(RefusalReason reason, double waitMs);
    Refusal refuseAll(
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
    ColdAllowance m_cold;
    EndpointLimits m_limits;
    Placement m_placement;
    std::map<domain::EndpointId, EndpointLoad> m_loads;
    std::map<domain::ServiceId, RetryBudget> m_retries;
    std::map<domain::ServiceId, std::uint64_t> m_demand;
    struct KnownSet
    {
        WorkingSet set;
        /// Of the list and the withdrawals from which it was made.
        std::uint64_t generation = 0;
        std::uint64_t withdrawals = 0;
    };
    std::map<domain::ServiceId, KnownSet> m_workingSets;
    std::uint64_t m_withdrawalCount = 0;
    AddressIndex m_byAddress;
    /// Generation of the list from which the index was made; the list begins at zero.
    std::uint64_t m_byAddressGeneration = 0;
    EntryShare m_share;
    std::mt19937_64 m_random;
};

} // namespace oriolerill::routing
