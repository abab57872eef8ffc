#pragma once

#include "routing/crashevidence.h"

#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace oriolerill::routing {

struct CrashAttributionOptions
{
    CrashEvidenceOptions evidence;
    /// Crashes with a trait in common after which requests with it are refused. Fewer would blame a
    /// trait that is in progress, for the first time, at two engines that crash for another reason.
    std::size_t crashesToRefuse = 3;
    /// The traits must be in this share of the crashes of their time that no other trait explains:
    /// when many engines crash at once for another reason, some trait is in several of them by
    /// chance.
    double minShare = 0.5;
    /// That holds below this number of crashes, since others must not hide a bad trait.
    std::size_t crashesToRefuseAnyway = 6;
    /// The same for a whole request. Fewer suffice than for a part of a prompt, as few sound
    /// requests are repeated after a crash and then in progress at further ones.
    std::size_t requestCrashesToRefuseAnyway = 4;
    /// Those crashes are at least this far apart: copies of a request that are sent at once may be
    /// in progress at several engines that end for another reason.
    domain::Duration minRequestSpreadAnyway = std::chrono::seconds(1);
    /// The same for fewer crashes.
    domain::Duration minRequestSpread = std::chrono::milliseconds(250);
    /// Start of this process. It knows hardly any answers in the time after it, so crashes of that
    /// time count only if they reach that number.
    domain::TimePoint startedAt = domain::TimePoint::min();
    domain::Duration warmUpTime = std::chrono::seconds(3);
    /// Below that number, the crashes are at least this far apart, so that entries which know an
    /// answer to the trait can tell, and engines that end at one moment for one reason count less.
    domain::Duration minSpread = std::chrono::milliseconds(100);
    /// Crashes this shortly before the first one with the trait belong to its time.
    domain::Duration shareWindow = std::chrono::seconds(1);
    /// After so many crashes a request that has a trait in common with them is not sent again.
    std::size_t crashesToSuspect = 2;
    /// Time from the last crash to the next trial, doubled for each crash beyond those that decided
    /// the refusal, up to the maximum.
    domain::Duration trialDelay = std::chrono::seconds(60);
    /// The same once all requests begin on a newer version of the weights than the crashes had.
    domain::Duration newWeightsTrialDelay = std::chrono::seconds(5);
    domain::Duration maxTrialDelay = std::chrono::hours(1);
    /// No trial of a whole request is made after so many crashes, as each one may crash an engine:
    /// the operators allow three arrivals after the third crash.
    std::size_t maxRequestCrashes = 5;
    /// A granted trial must be sent within this time.
    domain::Duration grantLifetime = std::chrono::seconds(10);
    /// Number of traits kept that are known to be answered; those not answered for longest are
    /// evicted first.
    std::size_t maxAnswered = 16384;
};

/// Traits of prompts whose requests are refused, because they have crashed engines.
struct RefusedTraits
{
    /// Requests that contain all of these are refused: the crashes do not distinguish between them.
    std::vector<RequestTrait> traits;
    bool isWholeRequest() const;
    /// The crashes that decided it, the newest first; one of each engine process.
    std::vector<EngineCrash> crashes;
    /// The requests are accepted again after a trial, which may be made from this time.
    domain::TimePoint trialAt;
};

struct TraitsRefused
{
    RefusedTraits refused;
};

struct TraitsAllowed
{
    RefusedTraits refused;
    enum class Reason {
        /// An engine has answered a request with one of the traits.
        Answered,
        /// Other traits explain the crashes better.
        OthersToBlame,
        /// The crashes are no longer kept.
        Expired,
    } reason;
};

using AttributionChange = std::variant<TraitsRefused, TraitsAllowed>;
using AttributionChanges = std::vector<AttributionChange>;

struct TraitsUsable
{
    /// The request is the trial that was granted to this entry.
    bool isTrial = false;
};

struct TraitsUnusable
{
    RefusedTraits refused;
    /// A trial may be requested now.
    bool isTrialDue = false;
};

using TraitsDecision = std::variant<TraitsUsable, TraitsUnusable>;

/// Decides which traits of prompts crash engines, and refuses requests with them.
///
/// A crash also ends requests that have nothing to do with it, so a crash alone blames nobody. A
/// trait is cleared by an answer that has begun, which is the point at which the others crashed. Of
/// the traits without an answer, the one that the most crashes have in common is blamed first, and
/// the crashes that it explains do not count against other traits. All entries decide from the same
/// evidence. No I/O; not safe for concurrent use.
class CrashAttribution
{
public:
    explicit CrashAttribution(CrashAttributionOptions options = {});
    CrashAttribution(const CrashAttribution &) = delete;
    CrashAttribution &operator=(const CrashAttribution &) = delete;
    CrashAttribution(CrashAttribution &&) = default;
    CrashAttribution &operator=(CrashAttribution &&) = default;
    ~CrashAttribution() = default;

    struct Update
    {
        AttributionChanges changes;
        /// The evidence has content that other entries may not have.
        bool isNews = false;
    };
    /// An engine has begun to answer a request with these traits.
    Update onAnswerBegun(const std::vector<RequestTrait> &traits, std::uint64_t weightsVersion,
            domain::TimePoint now);
    /// This entry lost a request before its answer began, because the engine's process ended.
    Update onCrash(EngineCrash crash, domain::TimePoint now);
    /// Applies evidence of other entries.
    Update onEvidence(const protocol::CrashEvidence &message, domain::TimePoint now);
    /// Removes expired evidence.
    Update expire(domain::TimePoint now);

    /// Some trait has not been answered recently with these weights, so a crash counts against it.
    bool hasUnanswered(const std::vector<RequestTrait> &traits, std::uint64_t weightsVersion,
            domain::TimePoint now) const;
    /// A further attempt of a request with these traits could crash another engine.
    bool isSuspected(const std::vector<RequestTrait> &traits) const;
    /// requiredWeights is the oldest version on which requests begin now.
    TraitsDecision decide(const std::vector<RequestTrait> &traits, std::uint64_t requiredWeights,
            domain::TimePoint now);
    /// The next request with these traits may be sent as a trial.
    void grantTrial(const std::vector<RequestTrait> &traits, domain::TimePoint now);

    const std::vector<RefusedTraits> &refused() const { return m_refused; }
    const CrashEvidence &evidence() const { return m_evidence; }

private:
    struct Answered
    {
        std::uint64_t weightsVersion = 0;
        domain::TimePoint at;
        std::list<RequestTrait>::iterator position;
    };

    void remember(const RequestTrait &trait, std::uint64_t weightsVersion, domain::TimePoint now);
    /// Adds the answers that this entry has relayed to the traits of kept crashes; true if that
    /// clears a suspected trait, so that other entries should know.
    bool addKnownAnswers();
    /// Blames anew and returns what differs from before.
    AttributionChanges reassess();
    std::vector<RefusedTraits> blame() const;
    RefusedTraits refusedTraits(std::vector<RequestTrait> traits) const;
    bool isTrialDue(const RefusedTraits &refused, std::uint64_t requiredWeights,
            domain::TimePoint now) const;
    bool mayHaveTrial(const RefusedTraits &refused) const;
    domain::TimePoint trialAfter(const RefusedTraits &refused, domain::Duration delay) const;
    TraitsAllowed::Reason reasonToAllow(const RefusedTraits &refused) const;
    /// Whether the crashes of these engines are enough to blame a trait, among all unexplained
    /// ones.
    bool isEnough(const RequestTrait &trait, const std::set<EndpointInstance> &engines,
            const std::map<EndpointInstance, domain::TimePoint> &unexplained) const;

    CrashAttributionOptions m_options;
    CrashEvidence m_evidence;
    std::vector<RefusedTraits> m_refused;
    std::unordered_map<RequestTrait, Answered> m_answered;
    /// The trait answered last is at the front.
    std::list<RequestTrait> m_byAnswer;
    /// Until when this entry may send a trial with these traits.
    std::map<std::vector<RequestTrait>, domain::TimePoint> m_grants;
};

} // namespace oriolerill::routing
