#pragma once

#include "soakattempt.h"
#include "soakjournal.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace oriolerill::standins {

/// What an endpoint says of itself when a request reaches it.
struct SoakEndpointFacts
{
    std::string instance;
    std::string zone;
    std::uint64_t weights = 0;
    bool isEngine = false;
    /// When a healthy store acknowledged that it is draining.
    std::optional<domain::TimePoint> drainingSince;
};

/// The operators' rules, checked on what clients and endpoints see. Knows nothing of how the
/// programs decide.
class SoakChecks
{
public:
    // Bounds of the operators' settings page.
    static constexpr auto DrainBound = std::chrono::milliseconds(2000);
    static constexpr auto ConfigBound = std::chrono::milliseconds(2000);
    static constexpr auto RevertSlack = std::chrono::milliseconds(250);
    static constexpr auto EvacuationBound = std::chrono::milliseconds(5000);
    static constexpr auto WeightsBound = std::chrono::milliseconds(8000);
    /// Stretches two of the bounds while the store is unstable, but answers (max_skew_ms).
    static constexpr auto MaxSkew = std::chrono::milliseconds(5000);
    /// Requests that a calm entry may leave without an answer.
    static constexpr int MaxLost = 3;
    static constexpr auto AcceptanceSlack = std::chrono::milliseconds(200);
    /// An endpoint's limit counts from the contact time after it is first named, for entries that
    /// have had an answer with it for this long.
    static constexpr auto LimitNotice = std::chrono::milliseconds(500);
    static constexpr auto LimitWindow = std::chrono::seconds(4);
    static constexpr double LimitOverage = 1.5;
    static constexpr double LimitSlack = 5;
    /// What an endpoint says in an answer binds the entry that passed it on from then on.
    static constexpr auto NoticeBound = std::chrono::milliseconds(1000);

    explicit SoakChecks(SoakJournal &journal);

    // Acknowledgements of the store.
    void onConfig(std::uint64_t version);
    void onWeights(std::uint64_t version);
    void onEvacuation(const std::string &zone, bool isWithdrawn);
    /// An endpoint names a limit from now on; zero: none any more.
    void onLimit(const std::string &instance, double perSecond);
    /// An answer that names it is about to be sent.
    void onLimitAnnounced(const SoakAttempt &attempt, const std::string &instance);
    /// An answer is about to be sent which says that the endpoint wants nothing more until then;
    /// the rule is LEAVING or QUIET.
    void onNotice(const std::string &rule, const SoakAttempt &attempt, const std::string &instance,
            domain::TimePoint until);
    std::uint64_t newestConfig() const { return m_configs.empty() ? 0 : m_configs.rbegin()->first; }
    /// Version before the newest; the newest when there is no other.
    std::uint64_t previousConfig() const
    {
        return m_configs.size() < 2 ? newestConfig() : std::next(m_configs.rbegin())->first;
    }

    /// A client is about to send a request.
    std::shared_ptr<SoakAttempt> begin(SoakAttempt attempt);
    /// A request reached an endpoint; nullptr when no client sent it so.
    std::shared_ptr<SoakAttempt> onArrival(const std::string &id, const std::string &method,
            const std::string &target, const std::string &body, const SoakEndpointFacts &endpoint);
    /// The endpoint begins to work on it.
    void onRun(SoakAttempt &attempt, const SoakEndpointFacts &endpoint);
    /// The client has a complete answer.
    void onAnswer(SoakAttempt &attempt, unsigned status, const std::string &id,
            const std::string &signature, const std::string &body);
    /// The client's channel ended without one.
    void onBroken(const SoakAttempt &attempt, domain::TimePoint stopRequestedAt,
            const std::string &error);

    /// A check of the rule was decided now: a broken rule would have been seen.
    void recordInForce(const std::string &rule);
    /// Seconds of the run in which each rule was in force, and the rules that never were.
    std::string inForce() const;
    std::string summary() const;
    /// Reports kinds of requests of which none was served.
    void checkServed();

private:
    struct Notice
    {
        int incarnation = 0;
        domain::TimePoint since;
        domain::TimePoint until;
    };

    void checkConfig(const SoakAttempt &attempt, bool isKnown);
    void checkDrainAndEvacuation(const SoakAttempt &attempt, const SoakEndpointFacts &endpoint);
    void checkLimit(const SoakAttempt &attempt, const SoakEndpointFacts &endpoint);
    bool isInForce(const Notice &notice, const SoakAttempt &attempt) const;
    void checkNotice(const SoakAttempt &attempt, const SoakEndpointFacts &endpoint);
    void checkWeights(const SoakAttempt &attempt, const SoakEndpointFacts &endpoint);
    bool isSettled(const SoakAttempt &attempt, domain::TimePoint now) const;
    /// Whether the bound of configuration or withdrawals, which counts from `since`, has passed.
    bool hasBoundPassed(const SoakAttempt &attempt, domain::TimePoint since, domain::Duration bound,
            domain::TimePoint at) const;
    void checkLostOutsideStop(const SoakAttempt &attempt, const std::string &error);
    static std::string text(const SoakAttempt &attempt);

    struct ConfigState
    {
        int incarnation = 0;
        std::uint64_t version = 0;
        domain::TimePoint seenAt;
    };

    struct Limit
    {
        double perSecond = 0;
        domain::TimePoint since;
        /// Entries with the time of their first answer that named it.
        std::map<std::string, domain::TimePoint> announced;
        std::deque<domain::TimePoint> arrivals;
    };

    SoakJournal &m_journal;
    /// By rule, instance and entry.
    std::map<std::tuple<std::string, std::string, std::string>, Notice> m_notices;
    std::map<std::string, Limit> m_limits;
    std::unordered_map<std::string, std::shared_ptr<SoakAttempt>> m_attempts;
    std::map<std::uint64_t, domain::TimePoint> m_configs;
    std::map<std::uint64_t, domain::TimePoint> m_weights;
    std::map<std::string, domain::TimePoint> m_evacuations;
    std::map<std::string, ConfigState> m_configStates;
    std::map<SoakKind, std::size_t> m_served;
    std::map<std::string, std::size_t> m_outcomes;
    int m_lost = 0;
    /// Seconds in which each rule was in force.
    std::map<std::string, std::set<std::int64_t>> m_inForce;
};

} // namespace oriolerill::standins
