#include "routing/crashattribution.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolerill::routing {

using domain::TimePoint;

namespace {

std::set<EndpointInstance> without(
        const std::set<EndpointInstance> &engines, const std::set<EndpointInstance> &explained)
{
    std::set<EndpointInstance> rest;
    std::set_difference(engines.begin(), engines.end(), explained.begin(), explained.end(),
            std::inserter(rest, rest.end()));
    return rest;
}

bool containsAll(const std::vector<RequestTrait> &traits, const std::vector<RequestTrait> &wanted)
{
    return std::all_of(wanted.begin(), wanted.end(), [&](const RequestTrait &trait) {
        return std::find(traits.begin(), traits.end(), trait) != traits.end();
    });
}

const RefusedTraits *find(
        const std::vector<RefusedTraits> &refused, const std::vector<RequestTrait> &traits)
{
    const auto found = std::find_if(refused.begin(), refused.end(),
            [&](const RefusedTraits &other) { return other.traits == traits; });
    return found == refused.end() ? nullptr : &*found;
}

} // namespace

bool RefusedTraits::isWholeRequest() const
{
    return std::any_of(traits.begin(), traits.end(),
            [](const RequestTrait &trait) { return trait.isWholeRequest(); });
}

CrashAttribution::CrashAttribution(CrashAttributionOptions options)
    : m_options(options)
    , m_evidence(options.evidence)
{}

void CrashAttribution::remember(
        const RequestTrait &trait, std::uint64_t weightsVersion, TimePoint now)
{
    const auto [known, isNew] = m_answered.try_emplace(trait);
    Answered &answered = known->second;
    answered.weightsVersion = std::max(answered.weightsVersion, weightsVersion);
    answered.at = now;
    if (isNew) {
        m_byAnswer.push_front(trait);
        answered.position = m_byAnswer.begin();
    } else {
        m_byAnswer.splice(m_byAnswer.begin(), m_byAnswer, answered.position);
    }
    while (m_answered.size() > m_options.maxAnswered) {
        m_answered.erase(m_byAnswer.back());
        m_byAnswer.pop_back();
    }
}

CrashAttribution::Update CrashAttribution::onAnswerBegun(
        const std::vector<RequestTrait> &traits, std::uint64_t weightsVersion, TimePoint now)
{
    Update update;
    for (const RequestTrait &trait : traits) {
        remember(trait, weightsVersion, now);
        update.isNews = m_evidence.add(AnsweredTrait{trait, weightsVersion, now}) || update.isNews;
    }
    if (update.isNews)
        update.changes = reassess();
    return update;
}

CrashAttribution::Update CrashAttribution::onCrash(EngineCrash crash, TimePoint now)
{
    std::erase_if(crash.traits, [&](const RequestTrait &trait) {
        return !hasUnanswered({trait}, crash.weightsVersion, now);
    });
    Update update;
    update.isNews = m_evidence.add(crash, now);
    if (update.isNews) {
        addKnownAnswers();
        update.changes = reassess();
    }
    return update;
}

CrashAttribution::Update CrashAttribution::onEvidence(
        const protocol::CrashEvidence &message, TimePoint now)
{
    // Most messages contain only known evidence.
    if (!m_evidence.merge(message, now).isChanged)
        return {};
    const bool hasCleared = addKnownAnswers();
    return {reassess(), hasCleared};
}

CrashAttribution::Update CrashAttribution::expire(TimePoint now)
{
    m_evidence.expire(now);
    std::erase_if(m_grants, [now](const auto &grant) { return now > grant.second; });
    return {reassess(), false};
}

bool CrashAttribution::addKnownAnswers()
{
    std::set<RequestTrait> traits;
    for (const EngineCrash &crash : m_evidence.crashes())
        traits.insert(crash.traits.begin(), crash.traits.end());
    bool hasCleared = false;
    for (const RequestTrait &trait : traits) {
        const auto known = m_answered.find(trait);
        if (known == m_answered.end())
            continue;
        const bool wasSuspected = isSuspected({trait});
        const bool isCleared = m_evidence.add(
                AnsweredTrait{trait, known->second.weightsVersion, known->second.at});
        hasCleared = hasCleared || (wasSuspected && isCleared);
    }
    return hasCleared;
}

bool CrashAttribution::hasUnanswered(
        const std::vector<RequestTrait> &traits, std::uint64_t weightsVersion, TimePoint now) const
{
    return std::any_of(traits.begin(), traits.end(), [&](const RequestTrait &trait) {
        const auto known = m_answered.find(trait);
        return known == m_answered.end() || known->second.weightsVersion < weightsVersion
                || now - known->second.at > m_options.evidence.answerLifetimeOf(trait);
    });
}

bool CrashAttribution::isSuspected(const std::vector<RequestTrait> &traits) const
{
    return std::any_of(traits.begin(), traits.end(), [&](const RequestTrait &trait) {
        return m_evidence.enginesCrashedWith(trait).size() >= m_options.crashesToSuspect;
    });
}

bool CrashAttribution::isEnough(const RequestTrait &trait,
        const std::set<EndpointInstance> &engines,
        const std::map<EndpointInstance, TimePoint> &unexplained) const
{
    if (engines.size() < m_options.crashesToRefuse)
        return false;
    if (!trait.isWholeRequest() && engines.size() >= m_options.crashesToRefuseAnyway)
        return true;
    TimePoint first = TimePoint::max();
    TimePoint last = TimePoint::min();
    std::size_t counted = 0;
    for (const EndpointInstance &engine : engines) {
        const TimePoint at = unexplained.at(engine);
        first = std::min(first, at);
        last = std::max(last, at);
        const bool isInWarmUp
                = at >= m_options.startedAt && at - m_options.warmUpTime < m_options.startedAt;
        counted += isInWarmUp ? 0 : 1;
    }
    if (trait.isWholeRequest() && engines.size() >= m_options.requestCrashesToRefuseAnyway
            && last - first >= m_options.minRequestSpreadAnyway)
        return true;
    const domain::Duration minSpread
            = trait.isWholeRequest() ? m_options.minRequestSpread : m_options.minSpread;
    if (counted < m_options.crashesToRefuse || last - first < minSpread)
        return false;
    // Engines that end for another reason may end one after the other, so that the first of them
    // are few when the third one ends.
    const TimePoint until = trait.isWholeRequest() ? last + m_options.shareWindow : last;
    const auto others
            = std::count_if(unexplained.begin(), unexplained.end(), [&](const auto &crash) {
                  return crash.second >= first - m_options.shareWindow && crash.second <= until;
              });
    return static_cast<double>(engines.size()) >= static_cast<double>(others) * m_options.minShare;
}

/// A greedy set cover: with several bad traits at once, each is blamed for its own crashes, and a
/// sound trait that is only ever in progress beside a bad one is blamed for none.
std::vector<RefusedTraits> CrashAttribution::blame() const
{
    std::map<RequestTrait, std::set<EndpointInstance>> suspects;
    std::map<EndpointInstance, TimePoint> unexplained;
    for (const EngineCrash &crash : m_evidence.crashes()) {
        unexplained.try_emplace(crash.engine, crash.at);
        for (const RequestTrait &trait : crash.traits) {
            if (m_evidence.isUnanswered(trait, crash))
                suspects[trait].insert(crash.engine);
        }
    }
    std::vector<RefusedTraits> refused;
    for (;;) {
        std::set<EndpointInstance> engines;
        for (const auto &[trait, others] : suspects) {
            if (others.size() > engines.size() && isEnough(trait, others, unexplained))
                engines = others;
        }
        if (engines.empty())
            return refused;
        std::vector<RequestTrait> traits;
        for (const auto &[trait, others] : suspects) {
            if (others == engines)
                traits.push_back(trait);
        }
        refused.push_back(refusedTraits(std::move(traits)));
        for (auto &[trait, others] : suspects)
            others = without(others, engines);
        for (const EndpointInstance &engine : engines)
            unexplained.erase(engine);
    }
}

RefusedTraits CrashAttribution::refusedTraits(std::vector<RequestTrait> traits) const
{
    RefusedTraits refused{std::move(traits), {}, {}};
    std::vector<EngineCrash> crashes = m_evidence.crashes();
    std::sort(crashes.begin(), crashes.end(),
            [](const EngineCrash &a, const EngineCrash &b) { return a.at > b.at; });
    std::set<EndpointInstance> engines;
    for (EngineCrash &crash : crashes) {
        if (m_evidence.isUnanswered(refused.traits.front(), crash)
                && engines.insert(crash.engine).second)
            refused.crashes.push_back(std::move(crash));
    }
    refused.trialAt = trialAfter(
            refused, mayHaveTrial(refused) ? m_options.trialDelay : m_options.maxTrialDelay);
    return refused;
}

bool CrashAttribution::mayHaveTrial(const RefusedTraits &refused) const
{
    return !refused.isWholeRequest() || refused.crashes.size() < m_options.maxRequestCrashes;
}

TimePoint CrashAttribution::trialAfter(const RefusedTraits &refused, domain::Duration delay) const
{
    const std::size_t further = refused.crashes.size() - m_options.crashesToRefuse;
    for (std::size_t i = 0; i < further && delay < m_options.maxTrialDelay; ++i)
        delay *= 2;
    return refused.crashes.front().at + std::min(delay, m_options.maxTrialDelay);
}

bool CrashAttribution::isTrialDue(
        const RefusedTraits &refused, std::uint64_t requiredWeights, TimePoint now) const
{
    if (!mayHaveTrial(refused))
        return false;
    const bool isNewer = std::all_of(refused.crashes.begin(), refused.crashes.end(),
            [&](const EngineCrash &crash) { return crash.weightsVersion < requiredWeights; });
    return now >= refused.trialAt
            || (isNewer && now >= trialAfter(refused, m_options.newWeightsTrialDelay));
}

AttributionChanges CrashAttribution::reassess()
{
    const std::vector<RefusedTraits> before = std::exchange(m_refused, blame());
    AttributionChanges changes;
    for (const RefusedTraits &refused : m_refused) {
        if (find(before, refused.traits) == nullptr)
            changes.push_back(TraitsRefused{refused});
    }
    for (const RefusedTraits &refused : before) {
        if (find(m_refused, refused.traits) == nullptr)
            changes.push_back(TraitsAllowed{refused, reasonToAllow(refused)});
    }
    return changes;
}

TraitsAllowed::Reason CrashAttribution::reasonToAllow(const RefusedTraits &refused) const
{
    const bool isAnswered = std::any_of(
            refused.traits.begin(), refused.traits.end(), [&](const RequestTrait &trait) {
                return std::any_of(m_evidence.crashes().begin(), m_evidence.crashes().end(),
                        [&](const EngineCrash &crash) {
                            return containsAll(crash.traits, {trait})
                                    && !m_evidence.isUnanswered(trait, crash);
                        });
            });
    if (isAnswered)
        return TraitsAllowed::Reason::Answered;
    const std::size_t crashes = m_evidence.enginesCrashedWith(refused.traits.front()).size();
    return crashes >= m_options.crashesToRefuse ? TraitsAllowed::Reason::OthersToBlame
                                                : TraitsAllowed::Reason::Expired;
}

TraitsDecision CrashAttribution::decide(
        const std::vector<RequestTrait> &traits, std::uint64_t requiredWeights, TimePoint now)
{
    for (const RefusedTraits &refused : m_refused) {
        if (!containsAll(traits, refused.traits))
            continue;
        const auto grant = m_grants.find(refused.traits);
        if (grant == m_grants.end() || now > grant->second)
            return TraitsUnusable{refused, isTrialDue(refused, requiredWeights, now)};
        // A grant is for one request, even if that one is never sent.
        m_grants.erase(grant);
        return TraitsUsable{true};
    }
    return TraitsUsable{};
}

void CrashAttribution::grantTrial(const std::vector<RequestTrait> &traits, TimePoint now)
{
    if (find(m_refused, traits) != nullptr)
        m_grants[traits] = now + m_options.grantLifetime;
}

} // namespace oriolerill::routing
