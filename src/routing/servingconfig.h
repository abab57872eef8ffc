#pragma once

#include "domain/quantity.h"
#include "domain/socketaddress.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace oriolerill::routing {

/// Whether a request may be repeated, as declared by the operator.
enum class RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// A series of events; may be repeated only where the route is resumable.
    Stream,
};

struct WeightedService
{
    domain::ServiceId service;
    std::uint32_t weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /// One service, or several among which requests are split by weight.
    std::vector<WeightedService> services;
    domain::Duration timeout = std::chrono::seconds(30);
    /// Time to the complete answer, or to the first event of a stream, that callers expect.
    domain::Duration objective = std::chrono::seconds(1);
    /// Zero is the highest.
    std::uint32_t priority = 0;
    std::uint32_t maxEndpoints = 1;
    bool isPublic = false;
    bool isResumable = false;
    /// Regions in which requests may run; empty means all.
    std::set<domain::RegionId> allowedRegions;

    bool isRepeatable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && isResumable);
    }
};

/// Speed of a model engine, as stated by its operator.
struct EngineSpeed
{
    std::uint32_t slots = 1;
    /// Duration of a decoding step with one sequence, and what each further sequence adds;
    /// milliseconds.
    double stepMs = 0;
    double stepMsPerSequence = 0;
    double promptTokensPerMs = 0;
    double usualPromptTokens = 0;
    double usualAnswerTokens = 0;

    /// Time between two completions when all slots are taken. Sequences share the decoding steps,
    /// but each prompt is processed between the steps and delays all of them.
    double completionIntervalMs() const
    {
        const double slotCount = slots > 0 ? slots : 1;
        const double promptMs = promptTokensPerMs > 0 ? usualPromptTokens / promptTokensPerMs : 0;
        return (stepMs + stepMsPerSequence * slotCount) * usualAnswerTokens / slotCount + promptMs;
    }
};

struct ServiceSpec
{
    domain::ServiceId id;
    std::string healthPath;
    /// Connections that an endpoint takes from all callers together.
    std::uint32_t maxConnections = 0;
    /// Requests a second that a cold endpoint can take; zero means no bound.
    double coldPerSecond = 0;
    domain::Duration coldTime = domain::Duration::zero();
    std::optional<EngineSpeed> engine;
    /// Models that the engines of this service run.
    std::vector<domain::ModelId> models;
    /// Address from which weights are fetched; set only for the service that distributes them.
    std::optional<domain::SocketAddress> origin;
    /// Rate of the origin's link in megabits a second; zero when it is not stated.
    double originMbps = 0;
    /// Bytes of a piece of the weights that the engines of this service load; zero when not stated.
    std::uint64_t pieceBytes = 0;
};

/// Priority of requests without an account, and of accounts without a priority: less urgent than
/// accounts that the operator has put first with zero.
constexpr std::uint32_t DefaultAccountPriority = 1;

struct CallerAccount
{
    domain::AccountId id;
    std::optional<std::uint32_t> priority;
    std::set<domain::RegionId> allowedRegions;
};

/// Bounds on what a caller may send and how long it may take.
struct CallerLimits
{
    domain::Bytes maxHeader = domain::Bytes(16U << 10U);
    domain::Bytes maxBody = domain::Bytes(4U << 20U);
    domain::Duration headerTimeout = std::chrono::seconds(3);
    domain::Duration idleTimeout = std::chrono::seconds(15);
};

/// One version of the operator's configuration; immutable once it is in force.
class ServingConfig
{
public:
    ServingConfig() = default;
    ServingConfig(std::uint64_t version, std::vector<Route> routes,
            std::vector<ServiceSpec> services, CallerLimits limits);

    void addAccount(const std::string &key, const CallerAccount &account);

    std::uint64_t version() const { return m_version; }
    const CallerLimits &limits() const { return m_limits; }
    const std::vector<Route> &routes() const { return m_routes; }
    bool hasAccounts() const { return m_hasAccounts; }
    void setHasAccounts() { m_hasAccounts = true; }

    /// The route of the host with the longest path prefix that matches; null without one. The
    /// pointer is valid as long as the configuration.
    const Route *route(std::string_view host, std::string_view path) const;
    const ServiceSpec *service(const domain::ServiceId &id) const;
    const std::map<domain::ServiceId, ServiceSpec> &services() const { return m_services; }
    /// The account that holds the key; null when none does.
    const CallerAccount *account(const std::string &key) const;
    /// Distinct priorities of the accounts.
    const std::set<std::uint32_t> &accountPriorities() const { return m_accountPriorities; }

private:
    std::uint64_t m_version = 0;
    std::vector<Route> m_routes;
    /// Positions in m_routes by host and prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> m_byHost;
    std::map<domain::ServiceId, ServiceSpec> m_services;
    std::unordered_map<std::string, CallerAccount> m_accounts;
    std::set<std::uint32_t> m_accountPriorities;
    CallerLimits m_limits;
    bool m_hasAccounts = false;
};

} // namespace oriolerill::routing
