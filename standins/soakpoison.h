#pragma once

#include "soakattempt.h"
#include "soakjournal.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace oriolerill::standins {

/// Prompt parts and whole requests that crash each endpoint that begins to answer a request with
/// them, and rule BUDGET for such requests.
class SoakPoison
{
public:
    explicit SoakPoison(SoakJournal &journal);

    /// Clients send a new deadly part in one of so many streams until the time.
    void beginPart(std::uint64_t oneIn, domain::TimePoint until);
    /// Clients repeat a new deadly request of this kind in one of so many requests until the time.
    void beginRequest(SoakKind kind, std::uint64_t oneIn, domain::TimePoint until);
    /// Parts of the prompt of a stream; sets the deadly one that is among them.
    std::string drawParts(SoakAttempt &attempt, std::mt19937_64 &random) const;
    /// Turns some attempts into a repeat of a deadly request.
    void drawRequest(SoakAttempt &attempt, std::mt19937_64 &random) const;
    /// Whether rule BUDGET is in force for a request that a client is about to send: the cause is
    /// known to the entries, which refuse it, so that the last free crash may never come.
    bool isChecked(const SoakAttempt &attempt) const;
    /// A request with a deadly cause reached an endpoint.
    void onArrival(const SoakAttempt &attempt);
    void onCrash(const SoakAttempt &attempt, const std::string &instance);

private:
    /// Requests that may reach endpoints later than the contact time after the last free crash.
    static constexpr int MaxLate = 3;
    /// Crashes by which the entries must know a part of a prompt, and a whole request.
    static constexpr int FreePartCrashes = 5;
    static constexpr int FreeRequestCrashes = 3;

    struct Cause
    {
        std::uint64_t oneIn = 1;
        domain::TimePoint until;
        /// The deadly request; empty for a part of prompts.
        std::optional<SoakAttempt> request;
        int crashes = 0;
        int late = 0;
        domain::TimePoint firstCrashAt;
        domain::TimePoint lastFreeCrashAt;

        int freeCrashes() const { return request ? FreeRequestCrashes : FreePartCrashes; }
    };

    SoakJournal &m_journal;
    std::map<std::string, Cause> m_causes;
};

} // namespace oriolerill::standins
