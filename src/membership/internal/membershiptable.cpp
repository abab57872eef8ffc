#include "membership/membershiptable.h"

#include "domain/rendezvous.h"
#include "membership/homeentries.h"
#include "membership/memberinfo.h"

#include <algorithm>
#include <chrono>

namespace oriolerill::membership {

using domain::DataCentreId;
using domain::TimePoint;

namespace {

constexpr int ExchangeCyclesUntilDead = 4;
// expire() is called several times a second; a longer gap means that the process was paused.
constexpr domain::Duration MaxExpireGap = std::chrono::seconds(1);
constexpr int SummariesUntilStale = 4;

std::vector<EntryRecord> entriesFrom(const protocol::MembershipExchange &exchange)
{
    std::vector<EntryRecord> records;
    for (const protocol::EntryInfo &info : exchange.entries())
        records.push_back(entryFromInfo(info));
    return records;
}

void addEntries(const std::vector<EntryRecord> &records, protocol::MembershipExchange &message)
{
    for (const EntryRecord &record : records)
        *message.add_entries() = infoFromEntry(record);
}

std::vector<EntryRecord> aliveOf(std::vector<EntryRecord> records)
{
    std::erase_if(records, [](const EntryRecord &record) { return !record.isAlive; });
    return records;
}

void addToSummary(const EndpointRecord &endpoint, ServiceSummary &summary)
{
    if (!endpoint.isServing())
        return;
    ++summary.serving;
    summary.inFlight += endpoint.inFlight;
    summary.limit += endpoint.limit;
    if (!endpoint.activeDigest.isNone())
        summary.activeDigests.insert(endpoint.activeDigest);
}

} // namespace

MembershipTable::MembershipTable(EntryRecord self, TimePoint now)
    : m_entries(std::move(self))
    , m_expiredAt(now)
    , m_nextExchangeAt(now)
    , m_nextSummaryAt(now)
{
    refreshSchedule();
}

bool MembershipTable::onHeartbeat(const protocol::Heartbeat &heartbeat, TimePoint now)
{
    const EndpointRecord record = endpointFromInfo(heartbeat.endpoint());
    if (record.id.isEmpty() || record.dataCentre != self().dataCentre)
        return false;
    const bool isAccepted = m_endpoints.onHeartbeat(record, now, m_schedule.heartbeatInterval);
    chooseHomesIfNeeded(now);
    return isAccepted;
}

void MembershipTable::onExchange(const protocol::MembershipExchange &exchange, TimePoint now)
{
    const EntryRecord sender = entryFromInfo(exchange.sender());
    if (sender.id.isEmpty())
        return;
    m_entries.onMessage(sender, now);
    const bool isFromOwnDataCentre = sender.dataCentre == self().dataCentre;
    if (isFromOwnDataCentre) {
        for (const EntryRecord &record : entriesFrom(exchange))
            m_entries.onPeerRecord(record, now);
        for (const protocol::EndpointInfo &info : exchange.endpoints())
            m_endpoints.onPeerRecord(endpointFromInfo(info), now);
    } else if (exchange.entries_size() > 0) {
        m_entries.onDataCentreEntries(sender.dataCentre, entriesFrom(exchange), now);
    }
    for (const protocol::DataCentreSummary &summary : exchange.summaries())
        mergeSummary(summary, !isFromOwnDataCentre, now);
    chooseHomesIfNeeded(now);
    refreshSchedule();
}

void MembershipTable::mergeSummary(
        const protocol::DataCentreSummary &message, bool isFirstHand, TimePoint now)
{
    const DataCentreSummary summary = summaryFromMessage(message);
    if (summary.dataCentre == self().dataCentre)
        return;
    SummaryState &state = m_summaries[summary.dataCentre];
    // The incarnation is that of the entry that sends the summaries of the data centre. When it
    // dies or leaves, another entry takes over, which may have started earlier.
    const bool isSameSender = summary.incarnation == state.summary.incarnation;
    const bool isUnresponsive = now - state.receivedAt > 2 * m_schedule.summaryInterval;
    const bool isNewer = isSameSender
            ? summary.sequence > state.summary.sequence
            : isUnresponsive || summary.incarnation > state.summary.incarnation;
    if (!isNewer)
        return;
    state.summary = summary;
    state.receivedAt = now;
    state.changedAt = isFirstHand ? ++m_summaryChanges : 0;
}

void MembershipTable::onAnswered(const PlannedExchange &exchange)
{
    const auto found = m_peers.find(exchange.peer.id);
    if (found == m_peers.end())
        return;
    PeerState &state = found->second;
    state.isUnderWay = false;
    state.endpointChanges = std::max(state.endpointChanges, exchange.endpointChanges);
    state.entryChanges = std::max(state.entryChanges, exchange.entryChanges);
    state.summaryChanges = std::max(state.summaryChanges, exchange.summaryChanges);
    state.selfChanges = std::max(state.selfChanges, exchange.selfChanges);
    m_isIntroduced = m_isIntroduced || exchange.peer.dataCentre == self().dataCentre;
}

void MembershipTable::onUnreachable(const domain::EntryId &peer)
{
    m_entries.onUnreachable(peer);
    const auto found = m_peers.find(peer);
    if (found != m_peers.end())
        found->second.isUnderWay = false;
}

void MembershipTable::onVmList(const std::vector<ListedMember> &members)
{
    for (const ListedMember &member : members) {
        if (member.isEntry)
            m_entries.onListed(member);
        else
            m_endpoints.onListed(domain::EndpointId(member.id.value()), member.isLeaving);
    }
}

void MembershipTable::expire(TimePoint now)
{
    const domain::Duration gap = now - m_expiredAt;
    if (gap > MaxExpireGap) {
        m_entries.onPause(gap);
        m_endpoints.onPause(gap);
    }
    m_expiredAt = now;
    const std::size_t entries = m_entries.activeEntries().size();
    m_entries.expire(now, ExchangeCyclesUntilDead * m_schedule.exchangeCycle(entries));
    chooseHomesIfNeeded(now);
    m_endpoints.expire(now, m_schedule.heartbeatInterval);
    refreshSchedule();
}

void MembershipTable::chooseHomesIfNeeded(TimePoint now)
{
    std::vector<domain::EntryId> peers = m_entries.activeEntries();
    if (peers == m_homeCandidates && m_endpoints.size() == m_homeEndpointCount)
        return;
    m_homeCandidates = std::move(peers);
    m_homeEndpointCount = m_endpoints.size();
    m_endpoints.chooseHomes(
            [&](const domain::EndpointId &id) { return isHome(self().id, id, m_homeCandidates); },
            now);
}

void MembershipTable::refreshSchedule()
{
    ControlScale scale;
    scale.endpoints = m_endpoints.size();
    scale.entries = std::max<std::size_t>(m_entries.activeEntries().size(), 1);
    scale.dataCentres = otherDataCentres().size() + 1;
    m_schedule = planControl(scale);
}

std::set<DataCentreId> MembershipTable::otherDataCentres() const
{
    std::set<DataCentreId> others;
    for (const EntryRecord &record : m_entries.records())
        others.insert(record.dataCentre);
    others.erase(self().dataCentre);
    return others;
}

std::vector<PlannedExchange> MembershipTable::planExchanges(TimePoint now)
{
    std::vector<PlannedExchange> planned;
    planOwnDataCentre(now, planned);
    planOtherDataCentres(now, planned);
    return planned;
}

MembershipTable::PeerState &MembershipTable::stateOf(const EntryRecord &peer)
{
    PeerState &state = m_peers[peer.id];
    if (state.incarnation != peer.incarnation) {
        const bool isUnderWay = state.isUnderWay;
        state = PeerState();
        state.incarnation = peer.incarnation;
        state.isUnderWay = isUnderWay;
    }
    return state;
}

void MembershipTable::setLeaving()
{
    m_entries.setLeaving();
    ++m_selfChanges;
}

bool MembershipTable::hasUrgentChanges(const PeerState &state, std::uint64_t newestChange) const
{
    return state.selfChanges < m_selfChanges || state.endpointChanges < newestChange;
}

void MembershipTable::planOwnDataCentre(TimePoint now, std::vector<PlannedExchange> &planned)
{
    std::vector<EntryRecord> peers = m_entries.recordsOf(self().dataCentre);
    std::erase_if(peers, [&](const EntryRecord &peer) {
        return peer.id == self().id || peer.controlAddress.isEmpty();
    });
    const bool isExchangeDue = now >= m_nextExchangeAt && !peers.empty();
    std::set<domain::EntryId> due;
    if (isExchangeDue) {
        m_nextExchangeAt = now + m_schedule.exchangeInterval;
        for (std::size_t i = 0; i < std::min(m_schedule.peersPerExchange, peers.size()); ++i)
            due.insert(peers[m_nextPeer++ % peers.size()].id);
    }
    const std::uint64_t newestChange = m_endpoints.newestHomeOrDirectChange();
    for (const EntryRecord &peer : peers) {
        PeerState &state = stateOf(peer);
        const bool isUrgent = peer.isAlive && hasUrgentChanges(state, newestChange);
        if (!state.isUnderWay && (isUrgent || due.contains(peer.id)))
            planned.push_back(planFor(peer, state));
    }
}

PlannedExchange MembershipTable::planFor(const EntryRecord &peer, PeerState &state)
{
    PlannedExchange exchange;
    exchange.peer = {peer.id, peer.dataCentre, peer.controlAddress};
    exchange.endpointChanges = m_endpoints.changeCount();
    exchange.entryChanges = m_entries.changeCount();
    exchange.summaryChanges = m_summaryChanges;
    exchange.selfChanges = m_selfChanges;
    state.isUnderWay = true;
    exchange.message = introduction();
    addEntries(m_entries.remoteChangesSince(state.entryChanges), exchange.message);
    for (const EndpointRecord &record : m_endpoints.changesSince(state.endpointChanges))
        *exchange.message.add_endpoints() = infoFromEndpoint(record);
    for (const auto &[id, stored] : m_summaries) {
        if (stored.changedAt > state.summaryChanges)
            *exchange.message.add_summaries() = messageFromSummary(stored.summary);
    }
    return exchange;
}

protocol::MembershipExchange MembershipTable::introduction()
{
    protocol::MembershipExchange message;
    *message.mutable_sender() = infoFromEntry(m_entries.nextSelf());
    message.set_entries_hash(m_isIntroduced ? m_entries.ownEntriesHash() : 0);
    return message;
}

void MembershipTable::planOtherDataCentres(TimePoint now, std::vector<PlannedExchange> &planned)
{
    if (now < m_nextSummaryAt)
        return;
    m_nextSummaryAt = now + m_schedule.summaryInterval;
    std::vector<std::string> own;
    for (const domain::EntryId &id : m_entries.activeEntries())
        own.push_back(id.value());
    for (const DataCentreId &other : otherDataCentres()) {
        const std::string pair = "summary/" + self().dataCentre.value() + '/' + other.value();
        const std::vector<std::string> ranked = domain::rendezvousRank(pair, own);
        const std::optional<EntryRecord> summaryPeer = summaryPeerIn(other);
        if (ranked.empty() || ranked.front() != self().id.value() || !summaryPeer)
            continue;
        PeerState &state = stateOf(*summaryPeer);
        if (state.isUnderWay)
            continue;
        state.isUnderWay = true;
        PlannedExchange exchange;
        exchange.peer = {summaryPeer->id, summaryPeer->dataCentre, summaryPeer->controlAddress};
        exchange.message = introduction();
        addEntries(aliveOf(m_entries.recordsOf(self().dataCentre)), exchange.message);
        ++m_summarySequence;
        *exchange.message.add_summaries() = messageFromSummary(buildOwnSummary());
        planned.push_back(std::move(exchange));
    }
}

std::optional<EntryRecord> MembershipTable::summaryPeerIn(const DataCentreId &dataCentre) const
{
    std::vector<EntryRecord> candidates = m_entries.recordsOf(dataCentre);
    std::erase_if(
            candidates, [](const EntryRecord &record) { return record.controlAddress.isEmpty(); });
    std::vector<EntryRecord> active = aliveOf(candidates);
    std::erase_if(active, [](const EntryRecord &record) { return record.isLeaving; });
    // Without a live entry, the listed ones are tried in rotation.
    if (active.empty() && !candidates.empty())
        return candidates[m_summarySequence % candidates.size()];
    if (active.empty())
        return std::nullopt;
    const std::string key = "summary/" + self().dataCentre.value();
    return *std::max_element(
            active.begin(), active.end(), [&](const EntryRecord &a, const EntryRecord &b) {
                return domain::rendezvousWeight(key, a.id.value())
                        < domain::rendezvousWeight(key, b.id.value());
            });
}

protocol::MembershipExchange MembershipTable::answer(const protocol::MembershipExchange &request)
{
    protocol::MembershipExchange message = introduction();
    const DataCentreId sender(request.sender().data_centre());
    if (sender != self().dataCentre) {
        addEntries(aliveOf(m_entries.recordsOf(self().dataCentre)), message);
        ++m_summarySequence;
        *message.add_summaries() = messageFromSummary(buildOwnSummary());
        return message;
    }
    if (request.entries_hash() == 0) {
        addEntries(m_entries.records(), message);
        for (const auto &[id, stored] : m_summaries)
            *message.add_summaries() = messageFromSummary(stored.summary);
    } else if (request.entries_hash() != m_entries.ownEntriesHash()) {
        addEntries(m_entries.recordsOf(self().dataCentre), message);
    }
    return message;
}

DataCentreSummary MembershipTable::buildOwnSummary() const
{
    DataCentreSummary summary;
    summary.dataCentre = self().dataCentre;
    summary.region = self().region;
    summary.incarnation = self().incarnation;
    summary.sequence = m_summarySequence;
    for (const EndpointRecord &endpoint : m_endpoints.records())
        addToSummary(endpoint, summary.services[endpoint.service]);
    return summary;
}

std::vector<EntryRecord> MembershipTable::ownEntries() const
{
    return entriesOf(self().dataCentre);
}

std::vector<EntryRecord> MembershipTable::entriesOf(const domain::DataCentreId &dataCentre) const
{
    return aliveOf(m_entries.recordsOf(dataCentre));
}

MembershipSnapshot MembershipTable::snapshot(TimePoint now) const
{
    MembershipSnapshot snapshot;
    snapshot.ownDataCentre = self().dataCentre;
    snapshot.endpoints = m_endpoints.records();
    snapshot.entries = m_entries.records();
    const domain::Duration maxAge = SummariesUntilStale * m_schedule.summaryInterval
            + m_schedule.exchangeCycle(m_homeCandidates.size());
    for (const auto &[id, state] : m_summaries) {
        DataCentreSummary &summary = snapshot.summaries[id];
        summary = state.summary;
        summary.isFresh = now - state.receivedAt <= maxAge;
    }
    snapshot.summaries[self().dataCentre] = buildOwnSummary();
    return snapshot;
}

} // namespace oriolerill::membership
