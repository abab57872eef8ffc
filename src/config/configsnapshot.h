#pragma once

#include "domain/configversion.h"
#include "domain/digest.h"
#include "domain/quantity.h"
#include "domain/strongid.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriolerill::config {

enum class ServiceKind {
    Model,
    Plain,
};

/// The calls of a plain service that must not run twice.
struct NonIdempotentCall
{
    std::string method;
    /// Matches every request target that begins with it.
    std::string pathPrefix;
};

/// A service that callers can use; kind "service".
struct Service
{
    domain::ServiceId id;
    ServiceKind kind = ServiceKind::Plain;
    std::vector<NonIdempotentCall> nonIdempotentCalls;
    /// Number of slots of the order ledger; fixed for the lifetime of the service.
    std::uint32_t ledgerSlots = 8;
    domain::ConfigVersion version;
};

/// The model version, with an optional adapter, to be run on a service's endpoints; kind "rollout".
struct Rollout
{
    domain::RolloutId id;
    domain::ServiceId service;
    domain::ModelId model;
    std::string adapter;
    std::string modelVersion;
    domain::Digest manifest;
    /// Data centres that the rollout applies to; empty means all.
    std::set<domain::DataCentreId> dataCentres;
    std::uint32_t maxUnavailablePerDataCentre = 1;
    /// Rollouts with a higher priority are carried out first.
    std::uint32_t priority = 0;
    domain::ConfigVersion version;
};

/// A data centre that receives no new requests; kind "withdrawal", named by the data centre.
struct Withdrawal
{
    domain::DataCentreId dataCentre;
    std::string reason;
    domain::ConfigVersion version;
};

/// Concurrency limits of each endpoint of a service; kind "limit", named by the service.
struct EndpointLimit
{
    domain::ServiceId service;
    std::uint32_t maxConcurrency = 8;
    /// Maximum concurrency of an endpoint that has just started or has become cold.
    std::uint32_t startConcurrency = 1;
    domain::ConfigVersion version;
};

/// A caller's account; kind "account".
struct Account
{
    domain::AccountId id;
    /// SHA-256 of the bearer token.
    domain::Digest tokenDigest;
    std::uint32_t maxConcurrency = 64;
    std::uint32_t requestsPerSecond = 1000;
    /// Share of the capacity under contention, relative to other accounts.
    std::uint32_t weight = 1;
    /// Services that the account may call; empty means all.
    std::set<domain::ServiceId> services;
    /// True if the account may use the administration API for these services.
    bool isOperator = false;
    domain::ConfigVersion version;
};

/// The configuration in force at one point in time; immutable once published.
struct ConfigSnapshot
{
    std::map<domain::ServiceId, Service> services;
    std::map<domain::RolloutId, Rollout> rollouts;
    std::map<domain::DataCentreId, Withdrawal> withdrawals;
    std::map<domain::ServiceId, EndpointLimit> limits;
    std::map<domain::AccountId, Account> accounts;
    domain::ConfigVersion watermark;

    /// The rollout in force for the service in the data centre: the one with the highest version.
    const Rollout *activeRollout(
            const domain::ServiceId &service, const domain::DataCentreId &dataCentre) const;
    bool isWithdrawn(const domain::DataCentreId &dataCentre) const;
    const Account *accountByToken(const domain::Digest &tokenDigest) const;
};

} // namespace oriolerill::config
