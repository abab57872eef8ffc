#include "routing/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oriolerill::routing {

namespace {

/// Transit of an engine's refusal to the entry, which withdraws the request at the begin deadline.
constexpr auto RefusalTransit = std::chrono::milliseconds(100);

domain::Duration fromMs(double ms)
{
    return std::chrono::duration_cast<domain::Duration>(
            std::chrono::duration<double, std::milli>(ms));
}

BoundedStartsOptions startsOptions(const DispatcherOptions &options)
{
    BoundedStartsOptions starts = options.starts;
    starts.dataCentre = options.dataCentre;
    return starts;
}

StartPaceOptions startPaceOptions(const DispatcherOptions &options)
{
    StartPaceOptions startPace = options.startPace;
    startPace.usedShare = options.cold.usedShare;
    startPace.window = options.cold.window;
    return startPace;
}

} // namespace

Dispatcher::Dispatcher(DispatcherOptions options)
    : m_options(std::move(options))
    , m_endpoints(m_options.list)
    , m_weights(m_options.weights)
    , m_starts(startsOptions(m_options))
    , m_cold(m_options.cold)
    , m_startPace(startPaceOptions(m_options))
    , m_limits(m_options.limits)
    , m_crashes(m_options.crashes)
    , m_placement(m_options.placement)
    , m_plain(m_options.plain)
    , m_remote(m_options.dataCentre, m_options.remote)
    , m_share{m_options.assumedEntries, m_options.seed % m_options.assumedEntries}
    , m_random(m_options.seed)
{}

bool Dispatcher::setConfig(std::shared_ptr<const ServingConfig> config)
{
    if (m_config && config->version() <= m_config->version())
        return false;
    m_config = std::move(config);
    m_objectives.clear();
    for (const Route &route : m_config->routes()) {
        for (const WeightedService &part : route.services) {
            const auto known = m_objectives.try_emplace(part.service, route.objective).first;
            known->second = std::min(known->second, route.objective);
        }
    }
    std::map<domain::ServiceId, ServiceAdmission> admissions;
    for (auto &[service, ranks] : ServiceRanks::of(*m_config)) {
        const auto known = m_admissions.find(service);
        if (known != m_admissions.end() && known->second.ranks() == ranks)
            admissions.insert(m_admissions.extract(known));
        else
            admissions.try_emplace(service, ranks, m_options.admission);
    }
    m_admissions = std::move(admissions);
    return true;
}

void Dispatcher::setWithdrawn(std::set<domain::DataCentreId> dataCentres)
{
    m_withdrawn = std::move(dataCentres);
    ++m_withdrawalsGeneration;
}

void Dispatcher::setPublishedWithdrawn(std::set<domain::DataCentreId> dataCentres)
{
    if (dataCentres == m_publishedWithdrawn)
        return;
    m_publishedWithdrawn = std::move(dataCentres);
    ++m_withdrawalsGeneration;
}

bool Dispatcher::isWithdrawn(const domain::DataCentreId &dataCentre) const
{
    return m_withdrawn.count(dataCentre) > 0 || m_publishedWithdrawn.count(dataCentre) > 0;
}

const WorkingSet *Dispatcher::workingSet(const domain::ServiceId &service)
{
    const ServiceSpec *spec = m_config ? m_config->service(service) : nullptr;
    if (spec == nullptr || !spec->engine)
        return nullptr;
    const auto found = m_workingSets.find(service);
    const bool isCurrent = found != m_workingSets.end()
            && found->second.generation == m_endpoints.generation()
            && found->second.withdrawalsGeneration == m_withdrawalsGeneration;
    if (isCurrent)
        return &found->second.set;
    CachedWorkingSet &known = m_workingSets
                                      .try_emplace(service,
                                              CachedWorkingSet{WorkingSet(m_options.entry.value(),
                                                      m_options.dataCentre, m_options.workingSet)})
                                      .first->second;
    std::vector<const ListedEndpoint *> engines;
    std::vector<const ListedEndpoint *> withdrawn;
    for (const auto &[id, endpoint] : m_endpoints.endpoints()) {
        if (endpoint.service == service && !endpoint.isDraining)
            (isWithdrawn(endpoint.dataCentre) ? withdrawn : engines).push_back(&endpoint);
    }
    known.set.update(engines, withdrawn);
    known.generation = m_endpoints.generation();
    known.withdrawalsGeneration = m_withdrawalsGeneration;
    return &known.set;
}

void Dispatcher::setShare(EntryShare share)
{
    m_share.entries = std::max<std::size_t>(share.entries, 1);
    m_share.rank = std::min(share.rank, m_share.entries - 1);
    for (auto &[service, budget] : m_retries)
        budget.configure(retryOptions());
}

void Dispatcher::onReport(const domain::SocketAddress &address, std::uint64_t startedAtMs,
        EngineReport report, domain::TimePoint now)
{
    // Reports are datagrams from any sender; a NaN in the pace would break every comparison of
    // waits.
    constexpr double MaxPace = 1000;
    report.pace = std::isfinite(report.pace) ? std::clamp(report.pace, 1.0, MaxPace) : 1.0;
    const auto atAddress = byAddress().find(address);
    if (atAddress == m_byAddress.end())
        return;
    for (const domain::EndpointId &id : atAddress->second) {
        const ListedEndpoint *endpoint = m_endpoints.find(id);
        const bool isSameStart = endpoint != nullptr
                && (endpoint->startedAtMs == startedAtMs || endpoint->startedAtMs == 0
                        || startedAtMs == 0);
        if (!isSameStart)
            continue;
        report.endpoint = id;
        load(id).onReport(report, now);
        m_startPace.update(id, load(id), now);
    }
}

const Dispatcher::AddressIndex &Dispatcher::byAddress()
{
    if (m_byAddressGeneration == m_endpoints.generation())
        return m_byAddress;
    m_byAddress.clear();
    for (const auto &[id, endpoint] : m_endpoints.endpoints())
        m_byAddress[endpoint.address].push_back(id);
    m_byAddressGeneration = m_endpoints.generation();
    return m_byAddress;
}

void Dispatcher::onSuspended(domain::Duration time)
{
    m_weights.onSuspended(time);
    m_starts.onSuspended(time);
    m_endpoints.onSuspended(time);
    for (auto &[id, load] : m_loads)
        load.onSuspended(time);
}

void Dispatcher::onPaused(domain::TimePoint pausedAt, domain::TimePoint resumedAt)
{
    m_weights.onPaused(pausedAt, resumedAt);
    m_starts.onPaused(resumedAt - pausedAt);
    m_remote.onPaused(resumedAt - pausedAt);
}

EndpointLoad &Dispatcher::load(const domain::EndpointId &endpoint)
{
    return m_loads.try_emplace(endpoint, m_options.load).first->second;
}

const EndpointLoad *Dispatcher::findLoad(const domain::EndpointId &endpoint) const
{
    const auto known = m_loads.find(endpoint);
    return known == m_loads.end() ? nullptr : &known->second;
}

domain::ServiceId Dispatcher::drawService(const Route &route)
{
    std::uint32_t total = 0;
    for (const WeightedService &part : route.services)
        total += part.weight;
    if (route.services.size() == 1 || total == 0)
        return route.services.front().service;
    std::uint32_t drawn = std::uniform_int_distribution<std::uint32_t>(0, total - 1)(m_random);
    for (const WeightedService &part : route.services) {
        if (drawn < part.weight)
            return part.service;
        drawn -= part.weight;
    }
    return route.services.back().service;
}

RetryBudgetOptions Dispatcher::retryOptions() const
{
    // In one window a token bucket grants at most its content and its refill; both together are
    // this entry's part of the bound's fixed number.
    const double part = m_options.retryExtra * m_options.retryUsedShare
            / static_cast<double>(m_share.entries);
    RetryBudgetOptions options;
    options.perRequest = m_options.retryRatio * m_options.retryUsedShare;
    options.perSecond = part / 2 / m_options.retryWindowSeconds;
    options.max = std::max(part / 2, 1.0);
    options.initial = options.max;
    return options;
}

RetryBudget &Dispatcher::retries(const domain::ServiceId &service, domain::TimePoint now)
{
    return m_retries.try_emplace(service, retryOptions(), now).first->second;
}

void Dispatcher::onRequest(const domain::ServiceId &service, domain::TimePoint now)
{
    retries(service, now).onRequest();
    ++m_demand[service];
}

std::uint64_t Dispatcher::takeDemand(const domain::ServiceId &service)
{
    return std::exchange(m_demand[service], 0);
}

bool Dispatcher::tryRetry(const domain::ServiceId &service, domain::TimePoint now)
{
    return retries(service, now).tryRetry(now);
}

std::optional<std::uint64_t> Dispatcher::weightsOf(
        const ListedEndpoint &endpoint, const domain::ModelId &model, domain::TimePoint now) const
{
    if (const EndpointLoad *known = findLoad(endpoint.id)) {
        if (const auto reported = known->reportedWeights(now))
            return *reported == 0 ? std::nullopt : reported;
    }
    const auto listed = endpoint.weights.find(model);
    // Zero is a model that is listed without its version.
    if (listed == endpoint.weights.end() || listed->second == 0)
        return std::nullopt;
    return listed->second;
}

bool Dispatcher::isCold(
        const ListedEndpoint &endpoint, const ServiceSpec &service, domain::TimePoint now) const
{
    return service.coldPerSecond > 0 && now < endpoint.coldUntil;
}

bool Dispatcher::mayTake(const ListedEndpoint &endpoint, const DispatchQuery &query) const
{
    if (endpoint.service != query.service || endpoint.isDraining || m_notices.isLeaving(endpoint)
            || query.excluded.count(endpoint.id) > 0 || isWithdrawn(endpoint.dataCentre))
        return false;
    const auto region = m_options.regions.find(endpoint.dataCentre);
    const auto isAllowed = [&](const std::set<domain::RegionId> &regions) {
        return regions.empty()
                || (region != m_options.regions.end() && regions.count(region->second) > 0);
    };
    return isAllowed(query.route->allowedRegions)
            && (query.account == nullptr || isAllowed(query.account->allowedRegions));
}

double Dispatcher::expectedStartMs(const ListedEndpoint &endpoint, const ServiceSpec &service,
        const CallerRequest &request, domain::TimePoint now)
{
    const EndpointLoad &known = load(endpoint.id);
    if (service.engine)
        return known.expectedStartMs(*service.engine, request.promptTokens, now)
                + known.failureCostMs();
    // Requests to plain services are short; the estimate is based on the endpoint's occupancy, on
    // the present slowness of its VM and on the usual service time.
    const PlainLoad plain = plainLoad(endpoint, now);
    const double runMs = m_plain.runMs(service.id);
    const double ahead = std::max(0.0, plain.occupancy + 1 - plain.slots);
    // Never negative: the time-outs of attempts are derived from the result.
    const double slower = std::max((plain.slowness - 1) * runMs, 0.0);
    return plain.occupancy + slower + ahead * runMs * plain.slowness / plain.slots
            + known.failureCostMs();
}

PlainLoad Dispatcher::plainLoad(const ListedEndpoint &endpoint, domain::TimePoint now)
{
    const EndpointLoad &known = load(endpoint.id);
    return {std::max<double>(endpoint.slots, 1), known.occupancy(now),
            static_cast<double>(known.inFlight()), known.slowness(now),
            known.hasFreshReport(now) ? known.reportAge(now) : domain::Duration::zero()};
}

std::optional<Refusal> Dispatcher::refusePlain(
        const Candidates &candidates, const DispatchQuery &query, domain::TimePoint now)
{
    std::vector<PlainLoad> loads;
    for (const PlacementCandidate &candidate : candidates.pool())
        loads.push_back(plainLoad(*m_endpoints.find(candidate.endpoint), now));
    domain::TimePoint deadline = now + query.route->timeout;
    if (query.request->deadline)
        deadline = std::min(deadline, *query.request->deadline);
    const auto waitMs = m_plain.refuse(query.service, loads, deadline - now, now);
    if (!waitMs)
        return std::nullopt;
    Refusal refusal = refuse(RefusalReason::PlainFull, *waitMs);
    refusal.listed = listedCount(query.service);
    refusal.usable = candidates.usable.size();
    return refusal;
}

double Dispatcher::maxWaitMs(const domain::ServiceId &service) const
{
    const auto objective = m_objectives.find(service);
    if (objective == m_objectives.end())
        return 0;
    return std::chrono::duration<double, std::milli>(objective->second).count()
            * m_options.maxWaitShare;
}

Refusal Dispatcher::refuse(RefusalReason reason, double waitMs)
{
    using std::chrono::milliseconds;
    const auto minTime = reason == RefusalReason::NoEndpoint ? m_options.minRetryAfterNoEndpoint
                                                             : m_options.minRetryAfter;
    const domain::Duration wait = fromMs(waitMs);
    // Spread over the same time again, so that refused callers do not return at the same moment.
    std::uniform_real_distribution<double> spread(1.0, 2.0);
    const auto spreadTime
            = std::chrono::duration_cast<domain::Duration>((minTime + wait) * spread(m_random));
    Refusal refusal;
    refusal.reason = reason;
    refusal.retryAfter = std::clamp<domain::Duration>(spreadTime, minTime, m_options.maxRetryAfter);
    return refusal;
}

/// A caller that returns before the next trial is refused again.
Refusal Dispatcher::refuseTraits(const TraitsUnusable &unusable, domain::TimePoint now)
{
    Refusal refusal = refuse(RefusalReason::CrashingTraits, 0);
    refusal.retryAfter = std::max(refusal.retryAfter, unusable.refused.trialAt - now);
    refusal.traits = unusable;
    return refusal;
}

Refusal Dispatcher::refuseWithoutCandidate(
        const Candidates &candidates, const DispatchQuery &query, domain::TimePoint now)
{
    const auto &backoff = candidates.backoffUntil;
    const auto &limited = candidates.limitedUntil;
    Refusal refusal = refuse(limited ? RefusalReason::Limited : RefusalReason::NoEndpoint, 0);
    refusal.listed = listedCount(query.service);
    refusal.outdated = candidates.outdated;
    refusal.tooLate = candidates.tooLate;
    refusal.requiredWeights = candidates.requiredWeights;
    // A caller that returns before an endpoint may take its request is refused again.
    const auto freeAt
            = backoff && limited ? std::min(backoff, limited) : std::max(backoff, limited);
    if (!freeAt)
        return refusal;
    refusal.retryAfter = std::max(refusal.retryAfter, *freeAt - now);
    // A time slot is reserved for one caller, provided that it starts before the caller's deadline.
    const domain::TimePoint last = query.request->deadline.value_or(now + query.route->timeout);
    if (query.mayReserveSlot && limited == freeAt && *freeAt < last)
        m_limits.reserveNextSlot(*candidates.limited, m_share, now);
    return refusal;
}

void Dispatcher::evaluate(const ListedEndpoint &endpoint, const ServiceSpec &service,
        const DispatchQuery &query, domain::TimePoint now, Candidates &candidates)
{
    if (!mayTake(endpoint, query))
        return;
    std::optional<std::uint64_t> version;
    if (service.engine) {
        version = weightsOf(endpoint, query.request->model, now);
        const bool isOther = query.pinnedWeights && version != query.pinnedWeights;
        if (!version || *version < candidates.requiredWeights || isOther) {
            ++candidates.outdated;
            return;
        }
    }
    if (const auto until = m_notices.backoffUntil(endpoint, now)) {
        candidates.backoffUntil = std::min(candidates.backoffUntil.value_or(*until), *until);
        return;
    }
    const auto slot = m_limits.nextSlot(endpoint, m_share, now);
    if (slot && *slot > now) {
        const auto unreserved = m_limits.nextUnreservedSlot(endpoint, m_share, now);
        if (!candidates.limitedUntil || *unreserved < *candidates.limitedUntil) {
            candidates.limitedUntil = unreserved;
            candidates.limited = &endpoint;
        }
        return;
    }
    const EndpointLoad &known = load(endpoint.id);
    m_startPace.update(endpoint.id, known, now);
    if (isCold(endpoint, service, now) && !hasColdRoom(endpoint, service, now))
        return;
    // A slow endpoint does less work in the same time, so it gets less even where it would start
    // about as early as others.
    const double slowness = service.engine ? known.pace(now) : known.slowness(now);
    const PlacementCandidate candidate{endpoint.id,
            expectedStartMs(endpoint, service, *query.request, now),
            endpoint.dataCentre == m_options.dataCentre, m_remote.costMs(endpoint.dataCentre, now),
            1 / std::max(slowness, 1.0)};
    const bool isTooLate = version
            && !beginsInTime(endpoint, *version, service, *query.request,
                    fromMs(candidate.expectedStartMs), now);
    if (isTooLate) {
        ++candidates.tooLate;
        return;
    }
    candidates.versions[endpoint.id] = version;
    // One request at a time probes whether an unresponsive endpoint answers. A repeated request has
    // no time left for a probe, nor for an endpoint that has just failed to answer another request.
    const bool isRepeated = !query.excluded.empty();
    const bool isUnresponsive = known.isUnresponsive(now) && (isRepeated || known.inFlight() > 0);
    const bool isSuspect = isUnresponsive || (isRepeated && known.hasFailedSinceSuccess());
    const bool isShedding
            = !service.engine && m_plain.isShedding(service.id, plainLoad(endpoint, now));
    if (known.isAwaitingRetry(now) || known.isSwitching(now) || isSuspect || isShedding)
        candidates.fallback.push_back(candidate);
    else if (m_startPace.isAtLimit(endpoint.id, known, m_share, now))
        candidates.paced.push_back(candidate);
    else
        candidates.usable.push_back(candidate);
}

Dispatcher::Candidates Dispatcher::candidatesFor(
        const ServiceSpec &service, const DispatchQuery &query, domain::TimePoint now)
{
    const std::uint64_t required = m_weights.requiredVersion(query.request->model, now);
    Candidates candidates;
    candidates.requiredWeights = required;
    if (const WorkingSet *set = workingSet(query.service)) {
        for (const domain::EndpointId &id : set->engines()) {
            if (const ListedEndpoint *endpoint = m_endpoints.find(id))
                evaluate(*endpoint, service, query, now, candidates);
        }
    }
    if (!candidates.usable.empty()) {
        addPaced(service, now, candidates);
        return candidates;
    }
    // No engine of the working set is usable: all endpoints are evaluated.
    candidates = {};
    candidates.requiredWeights = required;
    for (const auto &[id, endpoint] : m_endpoints.endpoints())
        evaluate(endpoint, service, query, now, candidates);
    addPaced(service, now, candidates);
    return candidates;
}

void Dispatcher::addPaced(const ServiceSpec &service, domain::TimePoint now, Candidates &candidates)
{
    if (candidates.paced.empty())
        return;
    const double maxMs = maxWaitMs(service.id);
    const auto isInTime = [&](const PlacementCandidate &candidate) {
        return !service.engine
                || load(candidate.endpoint).expectedWaitMs(*service.engine, now) <= maxMs;
    };
    auto &usable = candidates.usable;
    if (std::any_of(usable.begin(), usable.end(), isInTime))
        return;
    if (std::any_of(candidates.paced.begin(), candidates.paced.end(), isInTime)) {
        std::erase_if(candidates.paced, [&](const auto &paced) { return !isInTime(paced); });
        usable.swap(candidates.paced);
    } else {
        usable.insert(usable.end(), candidates.paced.begin(), candidates.paced.end());
    }
}

/// The allowance is asked first: both count from the first request for the endpoint.
bool Dispatcher::hasColdRoom(
        const ListedEndpoint &endpoint, const ServiceSpec &service, domain::TimePoint now)
{
    const double bound = service.coldPerSecond * m_options.coldOverage + m_options.coldSlack;
    const domain::TimePoint until = endpoint.coldUntil;
    const double reduced = m_startPace.coldBound(endpoint.id, bound, m_share, until, now);
    return m_cold.hasRoom(endpoint.id, until, reduced, m_share, now)
            && m_startPace.hasTurn(endpoint.id, bound, m_share, until, now);
}

std::size_t Dispatcher::listedCount(const domain::ServiceId &service) const
{
    const auto &endpoints = m_endpoints.endpoints();
    return static_cast<std::size_t>(std::count_if(endpoints.begin(), endpoints.end(),
            [&](const auto &entry) { return entry.second.service == service; }));
}

DispatchDecision Dispatcher::choose(const DispatchQuery &query, domain::TimePoint now)
{
    m_endpoints.expire(now);
    if (m_config)
        m_startPace.onList(m_endpoints, *m_config, now);
    const std::uint64_t required = m_weights.requiredVersion(query.request->model, now);
    const TraitsDecision traits = m_crashes.decide(query.request->traits, required, now);
    if (const auto *unusable = std::get_if<TraitsUnusable>(&traits))
        return refuseTraits(*unusable, now);
    const ServiceSpec *service = m_config ? m_config->service(query.service) : nullptr;
    Candidates candidates;
    if (service != nullptr)
        candidates = candidatesFor(*service, query, now);
    RemoteCost::removeDelayed(candidates.usable, query.route->objective, m_random);
    const auto &pool = candidates.pool();
    const auto chosen = m_placement.choose(pool, m_random);
    if (!chosen) {
        return refuseWithoutCandidate(candidates, query, now);
    }
    const PlacementCandidate &best = pool[*chosen];
    AdmissionDecision admitted;
    if (service->engine) {
        const double waitMs = load(best.endpoint).expectedWaitMs(*service->engine, now);
        const double maxMs = maxWaitMs(query.service);
        const bool isFirst = query.excluded.empty() && query.mayReserveSlot;
        ServiceAdmission &admission = this->admission(query.service);
        admitted = admission.decide({*query.route, query.account, *query.request, isFirst, waitMs,
                                            maxMs, m_options.maxWaitShare},
                now);
        if (admitted.refusal) {
            const double queueMs = load(best.endpoint).queueMs(*service->engine, now);
            const double excessMs = std::max(queueMs - maxMs, 0.0);
            Refusal refusal = refuse(*admitted.refusal, excessMs);
            if (const auto after = admission.retryAfter(*query.route, query.account,
                        fromMs(excessMs), freePerSecond(*service, pool.size()), m_random, now))
                refusal.retryAfter = *after;
            refusal.urgency = admitted.urgency;
            refusal.listed = listedCount(query.service);
            refusal.usable = candidates.usable.size();
            refusal.outdated = candidates.outdated;
            refusal.tooLate = candidates.tooLate;
            refusal.requiredWeights = candidates.requiredWeights;
            return refusal;
        }
    } else if (auto refusal = refusePlain(candidates, query, now)) {
        return *refusal;
    }
    const ListedEndpoint *endpoint = m_endpoints.find(best.endpoint);
    Dispatch dispatch;
    dispatch.isTrial = std::get<TraitsUsable>(traits).isTrial;
    dispatch.urgency = admitted.urgency;
    dispatch.isReturn = admitted.isReturn;
    dispatch.endpoint = best.endpoint;
    dispatch.address = endpoint->address;
    dispatch.startedAtMs = endpoint->startedAtMs;
    dispatch.expectedStartMs = best.expectedStartMs;
    dispatch.isCold = isCold(*endpoint, *service, now);
    if (dispatch.isCold)
        m_cold.onChosen(best.endpoint, now);
    dispatch.isLimited = m_limits.perSecond(*endpoint).has_value();
    if (dispatch.isLimited)
        m_limits.onChosen(*endpoint, m_share, now);
    dispatch.servedWeights = candidates.versions[best.endpoint].value_or(0);
    dispatch.newestWeights = m_weights.newestVersion(query.request->model);
    dispatch.requiredWeights = candidates.requiredWeights;
    if (dispatch.requiredWeights > 0 || query.pinnedWeights)
        dispatch.weightsVersion = candidates.versions[best.endpoint];
    if (service->engine) {
        dispatch.dataCentre = endpoint->dataCentre;
        dispatch.beginDeadline
                = m_weights.beginDeadline(query.request->model, dispatch.servedWeights);
    } else {
        dispatch.queuedRuns = m_plain.queuedRuns(query.service, plainLoad(*endpoint, now));
    }
    if (dispatch.beginDeadline) {
        dispatch.stopAt = stopAt(best.endpoint, *service, *query.request,
                fromMs(best.expectedStartMs), *dispatch.beginDeadline, now);
    }
    return dispatch;
}

ServiceAdmission &Dispatcher::admission(const domain::ServiceId &service)
{
    return m_admissions.try_emplace(service, ServiceRanks(), m_options.admission).first->second;
}

std::optional<AdmissionLevel> Dispatcher::takeAdmissionChange(
        const domain::ServiceId &service, domain::TimePoint now)
{
    const auto found = m_admissions.find(service);
    return found == m_admissions.end() ? std::nullopt : found->second.takeChange(now);
}

double Dispatcher::freePerSecond(const ServiceSpec &service, std::size_t usable)
{
    constexpr double MsPerSecond = 1000;
    const WorkingSet *set = workingSet(service.id);
    const std::size_t evaluated = set == nullptr ? 0 : set->engines().size();
    const auto listed = static_cast<double>(listedCount(service.id));
    // The engines outside the working set are assumed to be usable in the same proportion.
    const double share = evaluated == 0
            ? 1
            : std::min(static_cast<double>(usable) / static_cast<double>(evaluated), 1.0);
    const double intervalMs = std::max(service.engine->completionIntervalMs(), 1.0);
    return listed * share * MsPerSecond / intervalMs / static_cast<double>(m_share.entries);
}

bool Dispatcher::beginsInTime(const ListedEndpoint &engine, std::uint64_t served,
        const ServiceSpec &service, const CallerRequest &request, domain::Duration expectedStart,
        domain::TimePoint now)
{
    const auto beginDeadline = m_weights.beginDeadline(request.model, served);
    if (!beginDeadline)
        return true;
    domain::Duration longestStart = expectedStart;
    if (!stopAt(engine.id, service, request, expectedStart, *beginDeadline, now))
        longestStart += m_options.queueGrowth;
    return m_starts.isInTime({engine.id, engine.dataCentre}, longestStart, *beginDeadline, now);
}

/// Most engines drop a request whose connection is closed before it begins, but some run it all the
/// same. Each of them refuses a request whose time has passed in its queue, so a request that is
/// expected to end before the bound is given no more time than that. A request that may be in
/// progress at the bound must not be cut: it relies on the withdrawal.
std::optional<domain::TimePoint> Dispatcher::stopAt(const domain::EndpointId &engine,
        const ServiceSpec &service, const CallerRequest &request, domain::Duration expectedStart,
        domain::TimePoint beginDeadline, domain::TimePoint now)
{
    const domain::TimePoint end = beginDeadline - RefusalTransit;
    const domain::Duration run
            = fromMs(load(engine).maxRunMs(*service.engine, request.maxAnswerTokens, now));
    if (expectedStart + run > (end - now) * m_options.stopAtShare)
        return std::nullopt;
    return end;
}

std::size_t Dispatcher::maxIdleConnections(const domain::ServiceId &service) const
{
    /// About the number of an engine's slots; more connections are never in use at a time.
    constexpr std::size_t MaxIdle = 16;
    const ServiceSpec *spec = m_config ? m_config->service(service) : nullptr;
    if (spec == nullptr || spec->maxConnections == 0)
        return MaxIdle;
    return std::clamp<std::size_t>(spec->maxConnections / m_share.entries / 2, 1, MaxIdle);
}

bool Dispatcher::mayStillTake(const Dispatch &dispatch, domain::TimePoint now)
{
    m_endpoints.expire(now);
    const ListedEndpoint *endpoint = m_endpoints.find(dispatch.endpoint);
    return endpoint != nullptr && !endpoint->isDraining && !m_notices.isLeaving(*endpoint)
            && !isWithdrawn(endpoint->dataCentre);
}

void Dispatcher::onSent(const Dispatch &dispatch, domain::TimePoint now)
{
    load(dispatch.endpoint).onSent(now);
    if (const ListedEndpoint *endpoint = m_endpoints.find(dispatch.endpoint))
        m_remote.countSent(endpoint->dataCentre);
    if (!dispatch.dataCentre.value().empty())
        m_remote.onSent(dispatch.dataCentre, now, dispatch.expectedStartMs);
    if (dispatch.isCold) {
        m_cold.onSent(dispatch.endpoint, now);
        m_startPace.onColdSent(dispatch.endpoint);
    }
    if (dispatch.servedWeights > 0) {
        m_starts.onSent({dispatch.endpoint, dispatch.dataCentre}, now,
                now + fromMs(dispatch.expectedStartMs));
    }
}

void Dispatcher::onAnswerBegun(
        const Dispatch &dispatch, domain::TimePoint sentAt, domain::TimePoint now)
{
    load(dispatch.endpoint).onAnswerBegun(now);
    m_startPace.onAnswerBegun(dispatch.endpoint, dispatch.expectedStartMs, sentAt, now);
    if (!dispatch.dataCentre.value().empty())
        m_remote.onAnswerBegun(dispatch.dataCentre, sentAt, dispatch.expectedStartMs, now);
    m_starts.onAnswered({dispatch.endpoint, dispatch.dataCentre}, sentAt);
}

void Dispatcher::onAnswerLoad(const Dispatch &dispatch, const AnswerLoad &load,
        domain::TimePoint sentAt, domain::TimePoint now)
{
    const ListedEndpoint *endpoint = m_endpoints.find(dispatch.endpoint);
    if (endpoint == nullptr || workingSet(endpoint->service) != nullptr)
        return;
    m_plain.onAnswer(endpoint->service, load, now - sentAt, dispatch.queuedRuns);
}

void Dispatcher::onEnded(const Dispatch &dispatch, domain::TimePoint sentAt, domain::TimePoint now)
{
    load(dispatch.endpoint).onEnded();
    m_remote.onEnded(dispatch.dataCentre, sentAt, now);
    m_starts.onEnded({dispatch.endpoint, dispatch.dataCentre}, sentAt, now);
}

void Dispatcher::onNotSent(const Dispatch &dispatch)
{
    if (dispatch.isCold)
        m_cold.onNotSent(dispatch.endpoint);
    if (dispatch.isLimited)
        m_limits.onNotSent(dispatch.endpoint, m_share);
}

} // namespace oriolerill::routing
