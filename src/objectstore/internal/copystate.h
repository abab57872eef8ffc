#pragma once

#include "objectstore/storesubscriber.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace oriolerill::objectstore::internal {

/// What an update of a publisher means for the copy.
struct UpdateEffect
{
    /// The copy lacks changes that the update does not contain.
    bool isMissing = false;
    /// The publisher is active and has recently reached the store.
    bool isAccepted = false;
    /// The update confirms the copy.
    bool isConfirmed = false;
    /// The changes of the update bring the copy forward.
    bool isNewer = false;
};

/// State of the copy of one collection: the version of the store that it reflects, which newer ones
/// are known, and until when it may be trusted. Without I/O and clock.
///
/// A store that returns from an older copy is in a newer era and gives revisions out again, so
/// versions are compared as era and revision. Only a list brings a copy into a newer era; until
/// then the copy is served on, and nothing of the newer era confirms it.
class CopyState
{
public:
    explicit CopyState(const StoreSubscriberOptions &options);

    /// The stagger must outlive this object.
    void setReadStagger(const ReadStagger &stagger) { m_readStagger = &stagger; }
    const ReadStagger *readStagger() const { return m_readStagger; }
    void keepCollectionCopy() { m_keepsCopy = true; }
    bool keepsCollectionCopy() const { return m_keepsCopy; }

    /// A list has been applied, and the store has the changes since the applied version.
    bool hasList() const { return m_hasList; }
    /// The store does not have the changes since the applied version.
    void requireList() { m_hasList = false; }
    domain::ConfigVersion version() const { return m_version; }
    domain::ConfigVersion lastChangeVersion() const { return m_lastChangeVersion; }
    domain::ConfigVersion missingVersion() const { return m_missingVersion; }
    const ObjectList &collectionCopy() const { return m_copy; }
    /// Incremented by each list and update; the answer of a watch that was sent before is
    /// discarded, because it may be older.
    std::uint64_t generation() const { return m_generation; }
    bool isOfCopyEra(domain::ConfigVersion version) const;
    /// The store is in a newer era than the copy, so it must be listed.
    bool isEraOutdated() const;

    /// False for an answer to a call from before the era of the copy.
    bool isListApplicable(const ObjectList &list) const;
    /// A peer's list is newer, or contains everything that was announced.
    bool isPeerListUseful(const ObjectList &list) const;
    /// Replaces the copy; true if it was one of an older era.
    bool applyList(const ObjectList &list);
    /// Applies changes of the copy's era that a watch returned; yields those not superseded.
    ObjectList applyWatchedChanges(const ObjectList &changes);
    /// Applies the changes of an update that is newer; yields those not superseded.
    ObjectList applyPublishedChanges(const ObjectList &changes);

    /// A publisher has sent an update, whose changes are still to be applied.
    UpdateEffect onPublishedChanges(domain::ConfigVersion after, const ObjectList &changes,
            domain::TimePoint now, bool isOmitted, domain::TimePoint proof);
    /// A peer has applied a change at this version. Yields since when the version has been known,
    /// if the change counts as missed now.
    std::optional<domain::TimePoint> onPeerVersion(
            domain::ConfigVersion version, domain::TimePoint now);
    /// The change at this version, known since this time, is to be read without further waiting.
    void onMissed(domain::ConfigVersion version, domain::TimePoint since);
    /// Another subscriber of this process received proof that the store had this version; true if
    /// the copy lacks changes, because it is of an older era.
    bool onStoreVersion(domain::ConfigVersion version, domain::TimePoint provenAt);
    /// A read that is to prove the copy anew was sent at this time.
    void onProofRead(domain::TimePoint sentAt);
    /// An own call, answered with this version that the copy now reflects, proved the copy.
    void onStoreProof(domain::ConfigVersion version, domain::TimePoint provenAt);
    void onPeerListApplied(domain::TimePoint now);
    void onPublisherStoreLoss(domain::TimePoint now);

    bool isBehind() const;
    bool isOverdue(domain::TimePoint now) const;
    bool isUnconfirmed(domain::TimePoint now) const;
    /// Version of the copy, if an own call proved it within this age.
    std::optional<ProvenVersion> confirmedVersion(
            domain::TimePoint now, domain::Duration maxAge) const;
    domain::TimePoint provenAt() const { return m_provenAt; }
    /// A publisher that reaches the store has recently sent an update, whatever its proof.
    bool isUpdateReceivedRecently(domain::TimePoint now) const;
    /// The same, and the last proof of the copy suffices.
    bool isUpdateRecent(domain::TimePoint now) const;
    bool isPublisherActive(domain::TimePoint now) const;
    /// A publisher has recently reported that it cannot reach the store.
    bool isPublisherLossRecent(domain::TimePoint now) const;
    /// Peers' versions are received, which reveal a missed change.
    bool isPeerBacked(domain::TimePoint now) const;

    /// An entry that receives the changes of a large collection from publishers.
    bool isSubscriber() const;
    /// Changes after the applied version must be read without waiting for further ones.
    bool hasGap() const { return m_hasGap; }
    void setGap() { m_hasGap = true; }
    /// Ends the wait for missing changes from another publisher after its timeout.
    void checkGap(domain::TimePoint now);
    /// Published changes are missing and no longer awaited from another publisher.
    bool isReadDue() const { return hasCopy() && m_missingSince && m_hasGap; }
    /// When a publisher last announced a change that is missing.
    domain::TimePoint missingReceivedAt() const { return m_missingReceivedAt; }
    /// Published changes or those of a newer era are missing.
    bool isMissing() const { return m_missingSince.has_value() || isEraOutdated(); }
    /// Earliest time of a store read for a possibly stale copy.
    domain::TimePoint readAllowedAt() const;
    /// No read of the store is due: the last proof of the copy is recent enough for this rank.
    bool isTakeoverAwaited(domain::TimePoint now) const;
    /// When the last proof of the copy no longer suffices.
    domain::TimePoint proofEnd() const;

    bool isPossiblyStale() const { return m_freshness.isPossiblyStale(); }
    domain::TimePoint readDeadline() const { return m_freshness.readDeadline(); }
    domain::Duration limitWait(domain::Duration wait, domain::TimePoint now) const;
    void onPossiblyStale(domain::TimePoint since) { m_freshness.onPossiblyStale(since); }
    /// Since when a change may be missing, if that is found out at this time.
    domain::TimePoint staleSince(domain::TimePoint foundAt) const;
    /// The store did not answer a call that was sent at this time.
    void onUnanswered(domain::TimePoint sentAt);
    /// The store has answered a call of this process.
    void onReturned() { m_freshness.onReturned(); }
    bool isReturned() const { return m_freshness.isReturned(); }
    /// A publisher or the store confirmed the copy.
    void onConfirmed();

private:
    /// The store answers this process, and the copy was not proved within the bound.
    bool isUnproven(domain::TimePoint now) const;
    bool hasCopy() const { return m_generation > 0; }
    void recordEra(domain::ConfigVersion version);
    void recordProof(domain::TimePoint provenAt);
    /// Ends or shortens the time in which the copy counts as behind, after it has advanced.
    void updateMissing();
    void clearMissing();
    /// The copy lacks a change at or before this version, announced at this time.
    void recordMissing(domain::ConfigVersion version, domain::TimePoint receivedAt);
    /// The changes without those of objects whose later state is already applied.
    ObjectList withoutSuperseded(const ObjectList &changes) const;
    void recordVersions(const ObjectList &objects);
    /// The copy has an object that the list lacks.
    bool lacksObject(const ObjectList &list) const;
    void updateCopy(const ObjectList &changes);

    StoreSubscriberOptions m_options;
    const ReadStagger *m_readStagger = nullptr;
    FreshnessDeadline m_freshness;
    domain::ConfigVersion m_version;
    /// Newest era that an answer, a publisher or a peer has named.
    std::uint64_t m_newestEra = 0;
    domain::ConfigVersion m_lastChangeVersion;
    /// Version of the last change of each object, removals included.
    std::map<std::string, domain::ConfigVersion> m_objectVersions;
    std::set<std::string> m_presentKeys;
    /// Complete collection, kept only for large collections.
    ObjectList m_copy;
    bool m_keepsCopy = false;
    bool m_hasList = false;
    std::uint64_t m_generation = 0;
    bool m_hasGap = false;
    domain::TimePoint m_peerVersionReceivedAt;
    /// When a peer's version was first newer than the applied one.
    std::optional<domain::TimePoint> m_behindSince;
    domain::TimePoint m_updateReceivedAt;
    /// Since when published changes are missing, and the version of the last one.
    std::optional<domain::TimePoint> m_missingSince;
    domain::ConfigVersion m_missingVersion;
    /// When a publisher last sent a change that raised the missing version.
    domain::TimePoint m_missingReceivedAt;
    /// When the first read was sent that is to prove the copy anew; none if it has been proved
    /// since.
    std::optional<domain::TimePoint> m_proofReadAt;
    /// When the last call of this process was sent that the store has answered.
    domain::TimePoint m_answeredCallAt;
    /// When the copy becomes overdue; TimePoint::max() while it is not known to lack a change.
    domain::TimePoint m_overdueAt = domain::TimePoint::max();
    /// Newest proof of a publisher that has sent a change which the copy lacked.
    domain::TimePoint m_announcedProofAt;
    /// Versions that publishers have announced, with the time of their proof.
    std::map<domain::ConfigVersion, domain::TimePoint> m_announcedProofs;
    /// When the store last proved the copy, by an own call or through a publisher, and by an own
    /// call.
    domain::TimePoint m_provenAt;
    domain::TimePoint m_storeProvenAt;
    domain::TimePoint m_publisherLossAt;
    /// When the last call was sent that the store did not answer.
    domain::TimePoint m_unansweredAt;
};

} // namespace oriolerill::objectstore::internal
