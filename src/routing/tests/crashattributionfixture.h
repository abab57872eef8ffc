#pragma once

#include "routing/crashattribution.h"

#include <gtest/gtest.h>

#include <random>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::TimePoint;
using Traits = std::vector<RequestTrait>;

/// The attributions of some entries. Evidence is exchanged by messages, which tests may drop.
class CrashAttributionFixture : public testing::Test
{
protected:
    static constexpr std::size_t Entries = 3;

    static Traits traits(std::initializer_list<const char *> ids)
    {
        return {ids.begin(), ids.end()};
    }

    /// A crash of a further engine process, as observed by one entry.
    EngineCrash crash(const Traits &crashed, std::uint64_t weights = 1)
    {
        const std::string number = std::to_string(++m_crashes);
        return {{domain::EndpointId("e" + number), m_crashes}, domain::RequestId("r" + number),
                crashed, weights, m_now};
    }

    void deliver(std::size_t from)
    {
        const protocol::CrashEvidence message = m_entries[from].evidence().encode(m_now);
        for (std::size_t to = 0; to < Entries; ++to) {
            if (to != from && m_entries[to].onEvidence(message, m_now).isNews)
                deliver(to);
        }
    }

    void crashAt(std::size_t entry, const Traits &crashed, std::uint64_t weights = 1)
    {
        m_entries[entry].onCrash(crash(crashed, weights), m_now);
        deliver(entry);
        m_now += 200ms;
    }

    bool isRefused(std::size_t entry, const Traits &requested, std::uint64_t weights = 1)
    {
        return std::holds_alternative<TraitsUnusable>(
                m_entries[entry].decide(requested, weights, m_now));
    }

    bool isTrialDue(std::size_t entry, const Traits &requested, std::uint64_t weights = 1)
    {
        const TraitsDecision decision = m_entries[entry].decide(requested, weights, m_now);
        const auto *unusable = std::get_if<TraitsUnusable>(&decision);
        return unusable != nullptr && unusable->isTrialDue;
    }

    TimePoint m_now{1h};
    std::uint64_t m_crashes = 0;
    std::vector<CrashAttribution> m_entries{Entries};
};

} // namespace oriolerill::routing
