#include "objectstore/internal/copystate.h"

#include <algorithm>

namespace oriolerill::objectstore::internal {

using domain::ConfigVersion;
using domain::Duration;
using domain::TimePoint;

namespace {

/// Less than or equal to every version of the same era.
ConfigVersion eraBegin(ConfigVersion version)
{
    return {version.epoch, 0};
}

} // namespace

CopyState::CopyState(const StoreSubscriberOptions &options)
    : m_options(options)
    , m_freshness(options.freshnessBudget)
{}

bool CopyState::isOfCopyEra(ConfigVersion version) const
{
    return version.epoch == m_version.epoch;
}

bool CopyState::isEraOutdated() const
{
    return hasCopy() && m_newestEra > m_version.epoch;
}

void CopyState::recordEra(ConfigVersion version)
{
    m_newestEra = std::max(m_newestEra, version.epoch);
}

bool CopyState::isListApplicable(const ObjectList &list) const
{
    return list.storeVersion.epoch >= m_version.epoch;
}

bool CopyState::isPeerListUseful(const ObjectList &list) const
{
    // A list without the newest announced change still brings the copy forward: while changes
    // follow each other faster than a list is fetched, each list is older than the last
    // announcement. A peer in an older era has not reached the store since its return.
    const ConfigVersion version = list.storeVersion;
    return version.epoch >= m_newestEra
            && (version > m_version || (version == m_version && version >= m_missingVersion));
}

bool CopyState::applyList(const ObjectList &list)
{
    const bool isEraChanged = hasCopy() && list.storeVersion.epoch > m_version.epoch;
    if (!hasCopy() || isEraChanged)
        m_lastChangeVersion = eraBegin(list.storeVersion);
    // The own proof was given to the replaced copy.
    if (isEraChanged)
        m_storeProvenAt = {};
    // No object of the list shows a removal. Without its version, processes that miss it would take
    // their copies for confirmed.
    if (!isEraChanged && lacksObject(list))
        m_lastChangeVersion = std::max(m_lastChangeVersion, list.storeVersion);
    ++m_generation;
    recordEra(list.storeVersion);
    m_version = list.storeVersion;
    m_hasList = true;
    m_objectVersions.clear();
    m_presentKeys.clear();
    recordVersions(list);
    if (m_keepsCopy)
        m_copy = list;
    updateMissing();
    m_hasGap = m_missingSince.has_value();
    return isEraChanged;
}

ObjectList CopyState::applyWatchedChanges(const ObjectList &changes)
{
    ObjectList newer = withoutSuperseded(changes);
    m_version = std::max(m_version, changes.storeVersion);
    recordVersions(newer);
    updateCopy(newer);
    updateMissing();
    m_hasGap = m_missingSince.has_value();
    return newer;
}

ObjectList CopyState::applyPublishedChanges(const ObjectList &changes)
{
    ObjectList newer = withoutSuperseded(changes);
    // The answer of a pending watch may be older.
    ++m_generation;
    m_version = changes.storeVersion;
    recordVersions(newer);
    updateCopy(newer);
    updateMissing();
    return newer;
}

ObjectList CopyState::withoutSuperseded(const ObjectList &changes) const
{
    ObjectList newer{{}, changes.storeVersion};
    for (const StoredObject &object : changes.objects) {
        const auto existing = m_objectVersions.find(object.key);
        const bool hasVersion = object.version != eraBegin(object.version);
        const bool isOld = existing != m_objectVersions.end() && hasVersion
                && (object.isDeleted ? object.version < existing->second
                                     : object.version <= existing->second);
        if (!isOld)
            newer.objects.push_back(object);
    }
    return newer;
}

void CopyState::recordVersions(const ObjectList &objects)
{
    for (const StoredObject &object : objects.objects) {
        // The version of a removed object is that of its last change, not that of its removal.
        const ConfigVersion version = object.isDeleted ? objects.storeVersion : object.version;
        m_lastChangeVersion = std::max(m_lastChangeVersion, version);
        m_objectVersions[object.key] = version;
        if (object.isDeleted)
            m_presentKeys.erase(object.key);
        else
            m_presentKeys.insert(object.key);
    }
}

bool CopyState::lacksObject(const ObjectList &list) const
{
    std::set<std::string> listed;
    for (const StoredObject &object : list.objects)
        listed.insert(object.key);
    return !std::includes(listed.begin(), listed.end(), m_presentKeys.begin(), m_presentKeys.end());
}

void CopyState::updateCopy(const ObjectList &changes)
{
    if (!m_keepsCopy)
        return;
    m_copy.storeVersion = std::max(m_copy.storeVersion, changes.storeVersion);
    for (const StoredObject &object : changes.objects) {
        std::erase_if(m_copy.objects,
                [&object](const StoredObject &existing) { return existing.key == object.key; });
        if (!object.isDeleted)
            m_copy.objects.push_back(object);
    }
}

UpdateEffect CopyState::onPublishedChanges(ConfigVersion after, const ObjectList &changes,
        TimePoint now, bool isOmitted, TimePoint proof)
{
    /// Announcements of one series; with more, the oldest proofs are evicted, which errs towards
    /// reading the store earlier.
    constexpr std::size_t MaxAnnouncedProofs = 32;
    const ConfigVersion version = changes.storeVersion;
    UpdateEffect effect;
    // A publisher without the last change, or in an older era, may be disconnected from the store.
    if (!hasCopy() || version.epoch < m_newestEra || version < m_lastChangeVersion)
        return effect;
    recordEra(version);
    // Changes of a newer era do not continue the copy.
    const bool isListNeeded = isEraOutdated();
    if (isListNeeded || after > m_version) {
        recordMissing(std::max(after, eraBegin(version)), now);
        if (m_options.maxBehindTime != Duration::max() && m_overdueAt == TimePoint::max())
            // After a suspension of the VM the proof is old, and the change can be fetched at once.
            m_overdueAt = std::max<TimePoint>(
                    staleSince(now) + m_options.maxBehindTime, now + m_options.maxBehindTime / 4);
        m_announcedProofAt = std::max(m_announcedProofAt, proof);
        m_announcedProofs[version] = proof;
        if (m_announcedProofs.size() > MaxAnnouncedProofs)
            m_announcedProofs.erase(m_announcedProofs.begin());
        // A publisher is active, so this process must not replace it.
        if (m_readStagger != nullptr)
            m_updateReceivedAt = now;
        m_hasGap = m_hasGap || isOmitted || isListNeeded
                || now - *m_missingSince >= m_options.gapTimeout;
        effect.isMissing = true;
        return effect;
    }
    // The other publisher may have sent a later version.
    const bool isStillMissing = m_missingSince && version < m_missingVersion;
    if (!isStillMissing)
        recordProof(proof);
    // A publisher whose store connection is unresponsive sends updates until it detects the loss;
    // their changes are valid, but they confirm nothing.
    if (now < proofEnd()) {
        m_updateReceivedAt = now;
        effect.isAccepted = true;
        if (!isStillMissing) {
            m_hasGap = false;
            onConfirmed();
            effect.isConfirmed = true;
        }
    }
    effect.isNewer = version > m_version;
    return effect;
}

std::optional<TimePoint> CopyState::onPeerVersion(ConfigVersion version, TimePoint now)
{
    // A peer in an older era reveals no change of the newer one.
    if (version.epoch < m_newestEra)
        return std::nullopt;
    m_peerVersionReceivedAt = now;
    recordEra(version);
    if (version <= m_version) {
        m_behindSince.reset();
        return std::nullopt;
    }
    if (!m_behindSince)
        m_behindSince = now;
    const TimePoint since = *m_behindSince;
    if (now - since < m_options.peerVersionTimeout)
        return std::nullopt;
    m_behindSince.reset();
    return since;
}

void CopyState::onMissed(ConfigVersion version, TimePoint since)
{
    recordMissing(version, since);
    m_hasGap = true;
}

bool CopyState::onStoreVersion(ConfigVersion version, TimePoint provenAt)
{
    m_answeredCallAt = std::max(m_answeredCallAt, provenAt);
    if (provenAt > m_unansweredAt)
        m_freshness.onReturned();
    if (!m_hasList || version.epoch < m_newestEra)
        return false;
    recordEra(version);
    if (isEraOutdated()) {
        recordMissing(eraBegin(version), provenAt);
        return true;
    }
    if (version <= m_version)
        onStoreProof(version, provenAt);
    return false;
}

void CopyState::onStoreProof(ConfigVersion version, TimePoint provenAt)
{
    m_storeProvenAt = std::max(m_storeProvenAt, provenAt);
    // The store's own answer settles an announcement received before the call, whatever its
    // revision. An answer from before the return settles no announcement of the newer era.
    const bool isAnsweredLater
            = provenAt >= m_missingReceivedAt && version >= eraBegin(m_missingVersion);
    if (isAnsweredLater || version >= m_missingVersion) {
        clearMissing();
        m_hasGap = false;
    }
    recordProof(provenAt);
}

void CopyState::onPeerListApplied(TimePoint now)
{
    if (m_readStagger != nullptr)
        m_updateReceivedAt = now;
}

void CopyState::onPublisherStoreLoss(TimePoint now)
{
    m_publisherLossAt = now;
    m_updateReceivedAt = {};
}

void CopyState::onProofRead(TimePoint sentAt)
{
    if (!m_proofReadAt)
        m_proofReadAt = sentAt;
}

void CopyState::recordProof(TimePoint provenAt)
{
    if (provenAt > m_provenAt)
        m_proofReadAt.reset();
    m_provenAt = std::max(m_provenAt, provenAt);
}

void CopyState::clearMissing()
{
    m_missingSince.reset();
    m_missingVersion = {};
    m_missingReceivedAt = {};
    m_overdueAt = TimePoint::max();
    m_announcedProofs.clear();
}

void CopyState::updateMissing()
{
    // Proofs of older eras were not given to this copy.
    m_announcedProofs.erase(
            m_announcedProofs.begin(), m_announcedProofs.lower_bound(eraBegin(m_version)));
    const auto next = m_announcedProofs.upper_bound(m_version);
    if (next != m_announcedProofs.begin()) {
        recordProof(std::prev(next)->second);
        m_announcedProofs.erase(m_announcedProofs.begin(), next);
    }
    if (m_version >= m_missingVersion) {
        clearMissing();
        return;
    }
    // The changes that are still missing were made after the last proof. Those of a newer era were
    // not: they are missing since the announcement.
    if (m_readStagger != nullptr && m_missingSince && m_provenAt > *m_missingSince
            && !isEraOutdated()) {
        m_missingSince = m_provenAt;
        m_freshness.onProven(m_provenAt);
        if (m_overdueAt != TimePoint::max())
            m_overdueAt = m_provenAt + m_options.maxBehindTime;
    }
}

TimePoint CopyState::staleSince(TimePoint foundAt) const
{
    // A missing change was made after the last proof. In an outage the store was unreachable at
    // least until the last unanswered call.
    if (m_readStagger == nullptr)
        return foundAt;
    return std::min(foundAt, std::max(m_provenAt, m_unansweredAt));
}

void CopyState::recordMissing(ConfigVersion version, TimePoint receivedAt)
{
    const TimePoint since = staleSince(receivedAt);
    if (!m_missingSince)
        m_missingSince = receivedAt;
    if (version > m_missingVersion) {
        m_missingReceivedAt = receivedAt;
        m_missingVersion = version;
    }
    m_freshness.onPossiblyStale(since);
}

bool CopyState::isBehind() const
{
    return m_missingSince.has_value() || m_behindSince.has_value() || isEraOutdated();
}

bool CopyState::isOverdue(TimePoint now) const
{
    // Without a recent proof the publishers have lost the store too: the data centre may be cut
    // off, and nobody in it would serve.
    const bool isAnnounced
            = now >= m_overdueAt && now < m_announcedProofAt + m_options.maxBehindTime / 2;
    return isAnnounced || isUnproven(now);
}

bool CopyState::isUnproven(TimePoint now) const
{
    const bool isBounded = m_options.maxUnprovenTime != Duration::max()
            && m_options.maxBehindTime != Duration::max();
    if (!isBounded)
        return false;
    // The bound counts from when this process reaches the store again, which is later than its last
    // unanswered call.
    const bool isAfterOutage = m_freshness.isReturned()
            && now >= m_freshness.possiblyStaleSince() + m_options.maxUnprovenTime;
    // Without an outage, only the read was lost, while the store has answered other calls.
    const bool isReadLost = m_proofReadAt && m_answeredCallAt >= *m_proofReadAt
            && now >= m_provenAt + m_options.maxBehindTime
            && now >= m_unansweredAt + m_options.maxUnprovenTime;
    return isAfterOutage || isReadLost;
}

bool CopyState::isUnconfirmed(TimePoint now) const
{
    const Duration maxAge = std::min<Duration>(m_options.freshnessBudget,
            m_options.updateLifetime + m_options.subscriberWatchTimeout + m_options.answerTimeout);
    return isSubscriber() && m_hasList && now - m_provenAt > maxAge;
}

std::optional<ProvenVersion> CopyState::confirmedVersion(TimePoint now, Duration maxAge) const
{
    // A possibly stale copy must not confirm the copies of other processes.
    const bool isProvenHere = m_hasList && !m_freshness.isPossiblyStale() && !isEraOutdated()
            && m_storeProvenAt >= m_provenAt && now - m_storeProvenAt <= maxAge;
    if (!isProvenHere)
        return std::nullopt;
    return ProvenVersion{m_version, m_storeProvenAt};
}

bool CopyState::isUpdateReceivedRecently(TimePoint now) const
{
    return m_updateReceivedAt != TimePoint()
            && now - m_updateReceivedAt <= m_options.updateLifetime;
}

bool CopyState::isUpdateRecent(TimePoint now) const
{
    return isUpdateReceivedRecently(now) && now < proofEnd();
}

bool CopyState::isPublisherActive(TimePoint now) const
{
    const TimePoint receivedAt = std::max(m_updateReceivedAt, m_publisherLossAt);
    return receivedAt != TimePoint() && now - receivedAt <= m_options.updateLifetime;
}

bool CopyState::isPublisherLossRecent(TimePoint now) const
{
    return m_publisherLossAt != TimePoint() && now - m_publisherLossAt <= m_options.updateLifetime;
}

bool CopyState::isPeerBacked(TimePoint now) const
{
    return m_peerVersionReceivedAt != TimePoint()
            && now - m_peerVersionReceivedAt <= m_options.peerVersionLifetime;
}

bool CopyState::isSubscriber() const
{
    return m_readStagger != nullptr && !m_readStagger->isPublisher();
}

void CopyState::checkGap(TimePoint now)
{
    if (m_hasList && m_missingSince && now - *m_missingSince >= m_options.gapTimeout)
        m_hasGap = true;
}

TimePoint CopyState::readAllowedAt() const
{
    if (m_readStagger == nullptr || !m_freshness.isPossiblyStale())
        return m_freshness.readDeadline();
    return std::min(
            m_freshness.readDeadline(), m_freshness.possiblyStaleSince() + m_readStagger->delay());
}

bool CopyState::isTakeoverAwaited(TimePoint now) const
{
    // Publishers that cannot reach the store detect it late; the age of the last proof does not
    // depend on their detecting it.
    return isSubscriber() && m_readStagger->delay() > Duration::zero()
            && now < m_provenAt + m_readStagger->delay();
}

TimePoint CopyState::proofEnd() const
{
    if (m_readStagger == nullptr)
        return m_provenAt + m_options.maxProofAge;
    // A publisher without the store accepts updates of the entries that took over.
    return m_provenAt + std::max(m_readStagger->delay(), m_readStagger->firstDelay());
}

Duration CopyState::limitWait(Duration wait, TimePoint now) const
{
    return m_freshness.limitWait(wait, now);
}

void CopyState::onUnanswered(TimePoint sentAt)
{
    m_unansweredAt = std::max(m_unansweredAt, sentAt);
    m_freshness.onUnanswered(sentAt);
}

void CopyState::onConfirmed()
{
    // A copy that still lacks a change keeps its deadline.
    if (!m_missingSince && !isEraOutdated())
        m_freshness.onConfirmed();
}

} // namespace oriolerill::objectstore::internal
