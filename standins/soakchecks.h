#pragma once

#include "soakattempt.h"
#include "soakjournal.h"
#include "soakpoison.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriolerill::standins {

/// State of an endpoint when a request reaches it.
struct SoakEndpointFacts
{
    std::string instance;
    std::string zone;
    std::uint64_t weights = 0;
    bool isEngine = false;
    /// The link on which requests arrive was disrupted in the last contact time.
    bool isLinkDisrupted = false;
    /// Time at which a store without faults acknowledged the draining state.
    std::optional<domain::TimePoint> drainingSince;
};

/// Checks the operators' rules on what clients and endpoints observe. Shares no code with the
/// decisions of the programs under test.
class SoakChecks
{
public:
    // Bounds of the operators' settings page.
    static constexpr auto DrainBound = std::chrono::milliseconds(2000);
    static constexpr auto ConfigBound = std::chrono::milliseconds(2000);
    static constexpr auto RevertSlack = std::chrono::milliseconds(250);
    static constexpr auto EvacuationBound = std::chrono::milliseconds(5000);
    static constexpr auto WeightsBound = std::chrono::milliseconds(8000);
    /// Added to the bounds of configuration and withdrawals while the store is unstable but answers
    /// (max_skew_ms).
    static constexpr auto MaxSkew = std::chrono::milliseconds(5000);
    /// Requests that entries without faults may leave without an answer in a run.
    static constexpr int MaxLost = 3;
    static constexpr auto AcceptanceSlack = std::chrono::milliseconds(200);
    /// An endpoint's limit is checked once it has been announced for the contact time, for entries
    /// that received an answer with the limit at least this long ago.
    static constexpr auto LimitNoticeTime = std::chrono::milliseconds(500);
    static constexpr auto LimitWindow = std::chrono::seconds(4);
    static constexpr double LimitOverage = 1.5;
    static constexpr double LimitSlack = 5;
    /// Time that an entry has to apply a notice of an endpoint after the answer that carries it.
    static constexpr auto NoticeBound = std::chrono::milliseconds(1000);

    explicit SoakChecks(SoakJournal &journal);

    // Changes that the store has acknowledged.
    void onConfig(std::uint64_t version);
    void onWeights(std::uint64_t version);
    /// Version that an engine serves now; zero when it serves none.
    void onServedWeights(const std::string &engine, std::uint64_t version)
    {
        m_servedWeights[engine] = version;
    }
    void onEvacuation(const std::string &zone, bool isWithdrawn);
    /// The store has returned from an older copy, in which these are the newest versions and all
    /// withdrawals. No bound counts for what it has lost until it is written again.
    void onRestore(std::uint64_t config, std::uint64_t weights,
            const std::vector<std::string> &withdrawnZones);
    /// An endpoint begins to announce a limit; zero when it ends.
    void onLimit(const std::string &instance, double perSecond);
    /// Called before an answer that carries the limit is sent.
    void onLimitAnnounced(const SoakAttempt &attempt, const std::string &instance);
    /// Called before an answer is sent in which the endpoint asks for no requests until the given
    /// time; the rule is LEAVING or QUIET.
    void onNotice(const std::string &rule, const SoakAttempt &attempt, const std::string &instance,
            domain::TimePoint until);
    std::uint64_t newestConfig() const { return m_configs.empty() ? 0 : m_configs.rbegin()->first; }
    /// Version before the newest; the newest if it is the only one.
    std::uint64_t previousConfig() const
    {
        return m_configs.size() < 2 ? newestConfig() : std::next(m_configs.rbegin())->first;
    }

    /// Called before a client sends a request.
    std::shared_ptr<SoakAttempt> begin(SoakAttempt attempt);
    /// The request with this id, before it reaches an endpoint; nullptr when no client sent it.
    std::shared_ptr<SoakAttempt> find(const std::string &id) const;
    /// A request reached an endpoint; nullptr when no client sent a request with this id.
    std::shared_ptr<SoakAttempt> onArrival(const std::string &id, const std::string &method,
            const std::string &target, const std::string &body, const SoakEndpointFacts &endpoint);
    /// The endpoint starts the request.
    void onRun(SoakAttempt &attempt, const SoakEndpointFacts &endpoint);
    /// The client received a complete answer.
    void onAnswer(SoakAttempt &attempt, unsigned status, const std::string &id,
            const std::string &signature, const std::string &body);
    /// The client's connection ended without a complete answer.
    void onBroken(const SoakAttempt &attempt, domain::TimePoint stopRequestedAt,
            const std::string &error);

    SoakPoison &poison() { return m_poison; }
    /// The conditions of the rule hold now, so a violation would be detected.
    void recordInForce(const std::string &rule);
    /// Seconds of the run in which each rule was in force, and the rules that never were in force.
    std::string inForce() const;
    std::string summary() const;
    /// Reports each kind of request of which none was served.
    void checkServed();

private:
    /// Times by version; without a time where the store has lost the change.
    using Acknowledgements = std::map<std::uint64_t, std::optional<domain::TimePoint>>;

    struct Notice
    {
        int incarnation = 0;
        domain::TimePoint since;
        domain::TimePoint until;
    };

    /// A version also acknowledges the lost ones before it.
    static void acknowledge(Acknowledgements &versions, std::uint64_t version);
    void checkConfig(const SoakAttempt &attempt, bool isKnown);
    void checkDrainAndEvacuation(const SoakAttempt &attempt, const SoakEndpointFacts &endpoint);
    void checkLimit(const SoakAttempt &attempt, const SoakEndpointFacts &endpoint);
    bool isInForce(const Notice &notice, const SoakAttempt &attempt) const;
    void checkNotice(const SoakAttempt &attempt, const SoakEndpointFacts &endpoint);
    /// Newest version whose bound has passed; zero without one.
    std::uint64_t requiredWeights() const;
    void checkWeights(const SoakAttempt &attempt, const SoakEndpointFacts &endpoint);
    bool isSettled(const SoakAttempt &attempt, domain::TimePoint now) const;
    /// True when the bound of configuration or withdrawals, counted from `since`, has passed.
    bool hasBoundPassed(const SoakAttempt &attempt, std::optional<domain::TimePoint> since,
            domain::Duration bound, domain::TimePoint at) const;
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
        /// Time of the first answer with the limit, by entry.
        std::map<std::string, domain::TimePoint> announced;
        std::deque<domain::TimePoint> arrivals;
    };

    SoakJournal &m_journal;
    SoakPoison m_poison;
    /// By rule, instance and entry.
    std::map<std::tuple<std::string, std::string, std::string>, Notice> m_notices;
    std::map<std::string, Limit> m_limits;
    std::unordered_map<std::string, std::shared_ptr<SoakAttempt>> m_attempts;
    Acknowledgements m_configs;
    Acknowledgements m_weights;
    std::map<std::string, std::uint64_t> m_servedWeights;
    std::map<std::string, std::optional<domain::TimePoint>> m_evacuations;
    std::map<std::string, ConfigState> m_configStates;
    std::map<SoakKind, std::size_t> m_served;
    std::map<std::string, std::size_t> m_outcomes;
    int m_lost = 0;
    /// Seconds in which a rule was in force, by rule.
    std::map<std::string, std::set<std::int64_t>> m_inForce;
};

} // namespace oriolerill::standins
