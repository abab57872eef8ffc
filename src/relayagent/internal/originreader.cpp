#include "relayagent/internal/originreader.h"

#include "observability/log.h"
#include "platform/fleetcodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace oriolerill::relayagent::internal {

namespace asio = boost::asio;
using distribution::FetchEnd;
using distribution::OriginRead;
using distribution::OriginTarget;
using domain::TimePoint;
using observability::logEvent;
using observability::Severity;
using std::chrono::milliseconds;

namespace {

/// Members that serve a version hold all of its pieces. When none of them has sent one for this
/// long, they may be gone, and the origin is read. After a loss of power, 4 s here delayed the
/// return of all engines by as much.
constexpr auto ServedStallTimeout = milliseconds(1500);

} // namespace

OriginReader::OriginReader(asio::io_context &context, const FleetView &fleet,
        const HoldingsExchange &exchange, transport::HttpClient &client,
        observability::Metrics &metrics, Store store)
    : m_context(context)
    , m_fleet(fleet)
    , m_exchange(exchange)
    , m_client(client)
    , m_metrics(metrics)
    , m_store(std::move(store))
    , m_schedule(fleet.self().host, fleet.self().dataCentre)
{}

bool OriginReader::update()
{
    const distribution::OriginCapacity &capacity = m_fleet.originCapacity();
    if (!capacity.isKnown()) {
        m_plan = nullptr;
        return false;
    }
    // Ranking the members for each lane is expensive, so the plan is kept until the list changes.
    if (m_plan && m_plan->capacity() == capacity && m_plannedGeneration == m_fleet.generation())
        return true;
    m_plannedGeneration = m_fleet.generation();
    std::vector<distribution::PushMember> members = m_fleet.members();
    // Without a list, this VM is the only one that it knows.
    if (members.empty())
        members.push_back(m_fleet.self());
    m_plan = std::make_shared<const distribution::OriginPlan>(
            m_fleet.model().value(), members, capacity);
    m_schedule.setPlan(m_plan, TimePoint::clock::now());
    return true;
}

std::vector<std::uint64_t> OriginReader::order(
        const Transfers &transfers, std::vector<rollout::PendingVersion> wanted, TimePoint now)
{
    std::size_t pieces = 0;
    for (const auto &[version, transfer] : transfers)
        pieces = std::max(pieces, transfer->manifest().pieces.size());
    for (rollout::PendingVersion &version : wanted) {
        const auto transfer = transfers.find({m_fleet.model(), version.number});
        // Versions of one model have about the same size.
        const std::size_t size
                = transfer == transfers.end() ? pieces : transfer->second->manifest().pieces.size();
        version.missing = size - m_exchange.holdings().fleet(version.number, size, now).count();
    }
    rollout::VersionOrderOptions options;
    options.pieceTime = m_plan->capacity().pieceTime();
    std::vector<std::uint64_t> order = rollout::versionOrder(std::move(wanted), options, now);
    if (order != m_order && !order.empty()) {
        logEvent(Severity::Info, "fetch_version",
                {{"version", order.front()}, {"versions", order.size()},
                        {"newest", *std::max_element(order.begin(), order.end())}});
    }
    m_order = order;
    return order;
}

void OriginReader::begin(const Transfers &transfers, const std::vector<std::uint64_t> &order)
{
    const TimePoint now = TimePoint::clock::now();
    std::vector<OriginTarget> targets;
    for (const std::uint64_t number : order) {
        const auto found = transfers.find({m_fleet.model(), number});
        if (found == transfers.end())
            continue;
        const distribution::VersionTransfer &transfer = *found->second;
        const bool isServed = std::any_of(m_fleet.members().begin(), m_fleet.members().end(),
                [&](const distribution::PushMember &member) {
                    return member.servedVersion == number
                            && (member.dataCentre == m_fleet.self().dataCentre
                                    || m_exchange.holdings().isReachable(member.dataCentre, now));
                });
        if (isServed && now - transfer.progressAt() < ServedStallTimeout)
            continue;
        distribution::HaveMap held = transfer.held();
        const std::size_t pieces = held.size();
        held.merge(m_exchange.holdings().fleet(number, pieces, now));
        targets.push_back({number, std::move(held), transfer.inFlight()});
    }
    while (auto read = m_schedule.next(targets, m_exchange.holdings(), now)) {
        for (OriginTarget &target : targets) {
            if (target.version == read->version)
                target.inFlight.set(read->piece);
        }
        asio::co_spawn(m_context, this->read(transfers.at({m_fleet.model(), read->version}), *read),
                asio::detached);
    }
    if (m_takeovers != m_schedule.takeovers()) {
        m_takeovers = m_schedule.takeovers();
        logEvent(Severity::Info, "origin_lane", {{"state", "taken_over"}, {"reads", m_takeovers}});
    }
    m_metrics.set("oriolerill_agent_origin_requests", static_cast<double>(m_schedule.inFlight()));
}

asio::awaitable<void> OriginReader::read(Transfer transfer, OriginRead read)
{
    const Version version = transfer->manifest().version;
    const distribution::PieceFetch fetch = transfer->beginOriginRead(read.piece);
    transport::HttpRequest request;
    request.target = platform::pieceTarget(version, read.piece);
    request.fields.add("Connection", "close");
    const TimePoint startedAt = TimePoint::clock::now();
    auto response = co_await m_client.send(*m_fleet.origin(), std::move(request), read.deadline);
    FetchEnd end = FetchEnd::Failed;
    std::string bytes;
    if (response && response->status == 200) {
        end = FetchEnd::Stored;
        bytes = std::move(response->body);
        m_metrics.increment(
                "oriolerill_agent_fetched_bytes_total", {{"source", "origin"}}, bytes.size());
    } else if (response && response->status == 404) {
        end = FetchEnd::Absent;
    } else if (!response && TimePoint::clock::now() >= read.deadline) {
        end = FetchEnd::TimedOut;
    }
    const std::size_t size = bytes.size();
    const FetchEnd final = m_store(transfer, fetch, end, std::move(bytes));
    const TimePoint now = TimePoint::clock::now();
    const bool wasUnreachable = m_schedule.isUnreachable();
    m_schedule.onEnd(read, final, now);
    logReachability(wasUnreachable);
    // While the origin does not answer, only the change is logged.
    if (final == FetchEnd::Stored || !wasUnreachable) {
        logEvent(final == FetchEnd::Stored ? Severity::Debug : Severity::Warning, "origin_read",
                {{"version", version.number}, {"piece", read.piece}, {"lane", read.usedLane},
                        {"end", distribution::toString(final)}, {"bytes", size},
                        {"ms", std::chrono::duration_cast<milliseconds>(now - startedAt).count()},
                        {"reason", response ? "" : response.error().message}});
    }
}

bool OriginReader::mayReadManifest(TimePoint now) const
{
    return m_plan && m_schedule.isManifestReader(m_exchange.holdings(), now)
            && !m_schedule.isBackingOff(now);
}

std::vector<std::string> OriginReader::remoteManifestReaders() const
{
    std::vector<std::string> hosts;
    if (!m_plan)
        return hosts;
    for (const domain::DataCentreId &dataCentre : m_plan->dataCentres(0)) {
        const auto &readers = m_plan->readers(0, dataCentre);
        if (dataCentre != m_fleet.self().dataCentre && !readers.empty())
            hosts.push_back(readers.front());
    }
    return hosts;
}

void OriginReader::onAnswered(bool isAnswered)
{
    const bool wasUnreachable = m_schedule.isUnreachable();
    m_schedule.onAnswer(isAnswered, TimePoint::clock::now());
    logReachability(wasUnreachable);
}

void OriginReader::logReachability(bool wasUnreachable) const
{
    if (!wasUnreachable && m_schedule.isUnreachable()) {
        logEvent(Severity::Warning, "origin_unreachable",
                {{"remedy", "it is asked again by the readers of the lanes until it answers"}});
    } else if (wasUnreachable && !m_schedule.isUnreachable()) {
        logEvent(Severity::Info, "origin_returned", {});
    }
}

} // namespace oriolerill::relayagent::internal
