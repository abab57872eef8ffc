#include "routing/crashevidence.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace oriolerill::routing {

using domain::TimePoint;

namespace {

using std::chrono::milliseconds;

/// Clocks differ between VMs, so a message carries ages instead of times. A larger age in a
/// datagram would overflow the clock.
constexpr auto MaxAge = std::chrono::hours(48);
/// Time after which other crashes are sent, about that between two messages of a process.
constexpr auto TurnTime = std::chrono::seconds(1);

std::uint64_t ageMs(TimePoint at, TimePoint now)
{
    const auto age = std::clamp<domain::Duration>(now - at, domain::Duration::zero(), MaxAge);
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(age).count());
}

TimePoint timeOf(std::uint64_t ageMs, TimePoint now)
{
    constexpr std::uint64_t MaxAgeMs = milliseconds(MaxAge).count();
    return now - milliseconds(std::min(ageMs, MaxAgeMs));
}

protocol::RequestTrait encodeTrait(const RequestTrait &trait)
{
    protocol::RequestTrait message;
    if (trait.isWholeRequest())
        message.set_whole_request(trait.value());
    else
        message.set_prompt_part(trait.value());
    return message;
}

RequestTrait decodeTrait(const protocol::RequestTrait &message)
{
    if (message.has_whole_request())
        return RequestTrait(message.whole_request(), RequestTrait::Kind::WholeRequest);
    return RequestTrait(message.prompt_part());
}

bool isSameObservation(const EngineCrash &one, const EngineCrash &other)
{
    return one.request == other.request && one.engine == other.engine;
}

} // namespace

CrashEvidence::CrashEvidence(CrashEvidenceOptions options)
    : m_options(options)
{}

bool CrashEvidence::add(const EngineCrash &crash, TimePoint now)
{
    const bool isKnown = std::any_of(m_crashes.begin(), m_crashes.end(),
            [&](const EngineCrash &known) { return isSameObservation(known, crash); });
    if (isKnown || crash.traits.empty() || now - crash.at > m_options.lifetime)
        return false;
    m_crashes.push_back(crash);
    std::vector<RequestTrait> &traits = m_crashes.back().traits;
    if (traits.size() > m_options.maxTraitsPerCrash) {
        // The whole request, and a trait that other requests had in common with crashes, must not
        // be cut off by a caller that adds more traits.
        std::stable_sort(traits.begin(), traits.end(), [this](const auto &a, const auto &b) {
            return std::tuple(a.isWholeRequest(), m_traits.count(a))
                    > std::tuple(b.isWholeRequest(), m_traits.count(b));
        });
        traits.erase(traits.begin() + static_cast<std::ptrdiff_t>(m_options.maxTraitsPerCrash),
                traits.end());
    }
    indexTraits();
    expire(now);
    while (m_crashes.size() > m_options.maxCrashes)
        evictOne();
    return std::any_of(m_crashes.begin(), m_crashes.end(),
            [&](const EngineCrash &known) { return isSameObservation(known, crash); });
}

bool CrashEvidence::add(const AnsweredTrait &answered)
{
    if (!contains(answered.trait))
        return false;
    const auto [entry, isNew] = m_answered.try_emplace(answered.trait, answered);
    AnsweredTrait &known = entry->second;
    // Ages in messages are rounded, so the same answer may appear slightly later.
    constexpr auto MinDifference = std::chrono::seconds(1);
    const bool isLater = answered.weightsVersion > known.weightsVersion
            || answered.at > known.at + MinDifference;
    if (!isNew && !isLater)
        return false;
    known.weightsVersion = std::max(known.weightsVersion, answered.weightsVersion);
    known.at = std::max(known.at, answered.at);
    std::set<EndpointInstance> &unanswered = m_traits[answered.trait].unanswered;
    const std::size_t before = unanswered.size();
    for (const EngineCrash &crash : m_crashes) {
        if (!isUnanswered(answered.trait, crash))
            unanswered.erase(crash.engine);
    }
    return unanswered.size() < before;
}

bool CrashEvidence::isUnanswered(const RequestTrait &trait, const EngineCrash &crash) const
{
    if (std::find(crash.traits.begin(), crash.traits.end(), trait) == crash.traits.end())
        return false;
    const auto answered = m_answered.find(trait);
    // An answer shortly before a crash, or after it, shows that the trait does not crash engines
    // with these weights. An older one does not: the engines' program may have changed since.
    const bool isCleared = answered != m_answered.end()
            && answered->second.weightsVersion >= crash.weightsVersion
            && crash.at - answered->second.at <= m_options.answerLifetimeOf(trait);
    return !isCleared;
}

CrashEvidence::MergeResult CrashEvidence::merge(
        const protocol::CrashEvidence &message, TimePoint now)
{
    MergeResult result;
    for (const protocol::EngineCrash &received : message.crashes()) {
        EngineCrash crash;
        crash.engine = {domain::EndpointId(received.engine()), received.started_at_ms()};
        crash.request = domain::RequestId(received.request());
        for (const protocol::RequestTrait &trait : received.traits()) {
            // A message without a kind would have an empty trait in common with all others.
            if (trait.kind_case() != protocol::RequestTrait::KIND_NOT_SET)
                crash.traits.push_back(decodeTrait(trait));
        }
        crash.weightsVersion = received.weights_version();
        crash.at = timeOf(received.age_ms(), now);
        if (!add(crash, now))
            continue;
        result.isChanged = true;
        result.isNews = result.isNews || now - crash.at <= m_options.newsLifetime;
    }
    for (const protocol::AnsweredTrait &received : message.answered()) {
        const AnsweredTrait answered{decodeTrait(received.trait()), received.weights_version(),
                timeOf(received.age_ms(), now)};
        if (!add(answered))
            continue;
        result.isChanged = true;
        result.isNews = true;
    }
    return result;
}

void CrashEvidence::expire(TimePoint now)
{
    const std::size_t before = m_crashes.size();
    std::erase_if(m_crashes, [&](const EngineCrash &crash) {
        const auto lifetime = support(crash) > 1 ? m_options.lifetime : m_options.singleLifetime;
        return now - crash.at > lifetime;
    });
    if (m_crashes.size() != before)
        indexTraits();
}

std::set<EndpointInstance> CrashEvidence::enginesCrashedWith(const RequestTrait &trait) const
{
    const auto found = m_traits.find(trait);
    return found == m_traits.end() ? std::set<EndpointInstance>() : found->second.unanswered;
}

std::size_t CrashEvidence::support(const EngineCrash &crash) const
{
    std::size_t most = 0;
    for (const RequestTrait &trait : crash.traits)
        most = std::max(most, m_traits.at(trait).unanswered.size());
    return most;
}

void CrashEvidence::evictOne()
{
    const auto least = std::min_element(
            m_crashes.begin(), m_crashes.end(), [this](const EngineCrash &a, const EngineCrash &b) {
                return std::tuple(support(a), a.at) < std::tuple(support(b), b.at);
            });
    m_crashes.erase(least);
    ++m_evicted;
    indexTraits();
}

void CrashEvidence::indexTraits()
{
    m_traits.clear();
    for (const EngineCrash &crash : m_crashes) {
        for (const RequestTrait &trait : crash.traits) {
            TraitEngines &engines = m_traits[trait];
            engines.all.insert(crash.engine);
            if (isUnanswered(trait, crash))
                engines.unanswered.insert(crash.engine);
        }
    }
    std::erase_if(m_answered, [this](const auto &answered) { return !contains(answered.first); });
}

protocol::CrashEvidence CrashEvidence::encode(TimePoint now) const
{
    protocol::CrashEvidence message;
    const auto fits = [&](const auto &added, std::size_t size) {
        // Tag and length of the added message take at most four bytes.
        constexpr std::size_t MaxFraming = 4;
        return message.ByteSizeLong() + added.ByteSizeLong() + MaxFraming <= size;
    };
    // Answers first: without them, a receiver could blame a trait that is known to be sound. Those
    // of the traits with the most crashes matter most.
    std::vector<const AnsweredTrait *> answers;
    for (const auto &[trait, known] : m_answered)
        answers.push_back(&known);
    std::sort(answers.begin(), answers.end(), [this](const auto *a, const auto *b) {
        return m_traits.at(a->trait).all.size() > m_traits.at(b->trait).all.size();
    });
    answers.resize(std::min(answers.size(), m_options.maxAnsweredPerMessage));
    for (const AnsweredTrait *known : answers) {
        protocol::AnsweredTrait answered;
        *answered.mutable_trait() = encodeTrait(known->trait);
        answered.set_weights_version(known->weightsVersion);
        answered.set_age_ms(ageMs(known->at, now));
        if (fits(answered, m_options.maxMessageSize / 2))
            *message.add_answered() = std::move(answered);
    }
    const auto addCrash = [&](const EngineCrash &crash, std::size_t size) {
        protocol::EngineCrash added;
        added.set_engine(crash.engine.id.value());
        added.set_started_at_ms(crash.engine.startedAtMs);
        added.set_request(crash.request.value());
        for (const RequestTrait &trait : crash.traits)
            *added.add_traits() = encodeTrait(trait);
        added.set_weights_version(crash.weightsVersion);
        added.set_age_ms(ageMs(crash.at, now));
        if (fits(added, size))
            *message.add_crashes() = std::move(added);
    };
    std::vector<const EngineCrash *> common;
    std::vector<const EngineCrash *> others;
    for (const EngineCrash &crash : m_crashes)
        (support(crash) > 1 ? common : others).push_back(&crash);
    const auto isNewer = [](const auto *a, const auto *b) { return a->at > b->at; };
    std::sort(common.begin(), common.end(), isNewer);
    std::sort(others.begin(), others.end(), isNewer);
    // The crashes of many traits do not fit into one message, so they take turns; the newest ones
    // are in each.
    constexpr std::size_t NewestInEach = 3;
    constexpr std::size_t PerTurn = 4;
    if (common.size() > NewestInEach) {
        const auto turn = static_cast<std::size_t>(now.time_since_epoch() / TurnTime);
        const std::size_t rest = common.size() - NewestInEach;
        std::rotate(common.begin() + NewestInEach,
                common.begin() + NewestInEach + static_cast<std::ptrdiff_t>(turn * PerTurn % rest),
                common.end());
    }
    // A part of the message is left to crashes that are not known to have anything in common yet.
    for (const EngineCrash *crash : common)
        addCrash(*crash, m_options.maxMessageSize * 3 / 4);
    for (const EngineCrash *crash : others)
        addCrash(*crash, m_options.maxMessageSize);
    for (const EngineCrash *crash : common) {
        const bool isAdded = std::any_of(message.crashes().begin(), message.crashes().end(),
                [&](const protocol::EngineCrash &added) {
                    return added.engine() == crash->engine.id.value()
                            && added.request() == crash->request.value();
                });
        if (!isAdded)
            addCrash(*crash, m_options.maxMessageSize);
    }
    return message;
}

} // namespace oriolerill::routing
