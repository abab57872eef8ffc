#include "routing/priorityadmission.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::TimePoint;

/// Several entries that share the slots of 52 engines, whose queues they see 100 ms late.
class PriorityAdmissionFixture : public testing::Test
{
protected:
    static constexpr std::size_t Entries = 40;
    static constexpr double Engines = 52;
    static constexpr double Slots = 12 * Engines;
    static constexpr double IntervalMs = 138;
    static constexpr double StrictestMs = 180;

    using Rates = std::vector<double>;

    /// Fraction served of each rank, and then of all requests, in 20 s after 5 s of the same load.
    static std::vector<double> served(const Rates &perSecond, const Rates &limitMs)
    {
        std::vector<PriorityAdmission> entries(Entries, PriorityAdmission(perSecond.size()));
        std::vector<double> asked(perSecond.size() + 1);
        std::vector<double> admitted(perSecond.size() + 1);
        std::mt19937_64 random(7);
        std::uniform_real_distribution<double> uniform(0, 1);
        double held = Slots * 0.9;
        double reported = held;
        for (int ms = 0; ms < 25'000; ++ms) {
            held -= std::min(held, Slots) / Slots * Engines / IntervalMs;
            if (ms % 100 == 0)
                reported = held;
            for (std::size_t rank = 0; rank < perSecond.size(); ++rank) {
                if (uniform(random) >= perSecond[rank] / 1000)
                    continue;
                RankedRequest request;
                request.rank = rank;
                request.draw = uniform(random);
                // The queues differ by about two requests.
                const double ahead = (reported - Slots) / Engines + uniform(random) * 2 - 1;
                request.waitMs = std::max(ahead, 0.0) * IntervalMs;
                request.limitMs = limitMs[rank];
                request.strictestLimitMs = StrictestMs;
                const auto entry = static_cast<std::size_t>(uniform(random) * Entries);
                const bool isAdmitted = entries[entry].decide(request, TimePoint(1h + ms * 1ms))
                        == RankedVerdict::Admitted;
                held += isAdmitted ? 1 : 0;
                if (ms < 5'000)
                    continue;
                for (const std::size_t of : {rank, perSecond.size()}) {
                    ++asked[of];
                    admitted[of] += isAdmitted ? 1 : 0;
                }
            }
        }
        for (std::size_t i = 0; i < asked.size(); ++i) {
            admitted[i] /= asked[i];
            RecordProperty("served_" + std::to_string(i), std::to_string(admitted[i]));
        }
        return admitted;
    }
};

// Guards against refusing all routes alike when the least urgent one sends 2.4 times its rate, and
// against starving it.
TEST_F(PriorityAdmissionFixture, decide_burstOfLeastUrgentRank_urgentServedAndNobodyStarved)
{
    const auto served = this->served({233, 130, 182 * 2.4}, {180, 180, 450});
    // The engines complete 377 of 800 requests a second. With a third of the overall fraction for
    // the last rank, and all of the first, 0.58 to 0.65 of the second is left.
    EXPECT_GE(served[0], 0.9);
    EXPECT_GE(served[1], 0.45);
    EXPECT_GE(served[0], served[1]);
    EXPECT_GE(served[1], 2 * served[2]);
    EXPECT_GE(served[2], served[3] / 3);
    EXPECT_GE(served[3], 0.45);
}

// Guards against starving a rank while more urgent ones alone exceed the capacity.
TEST_F(PriorityAdmissionFixture, decide_burstOfMostUrgentRank_othersKeepAThird)
{
    const auto served = this->served({900, 130, 182}, {180, 180, 180});
    EXPECT_GE(served[1], served[3] / 3);
    EXPECT_GE(served[2], served[3] / 3);
    EXPECT_GE(served[0], served[2]);
}

// Guards against worse service of nearly all requests because of a few more urgent ones.
TEST_F(PriorityAdmissionFixture, decide_fewUrgentRequests_capacityUsedByOthers)
{
    const auto served = this->served({20, 480}, {180, 180});
    EXPECT_GE(served[0], 0.95);
    EXPECT_GE(served[2], 0.97 * 377 / 500);
}

// Guards against refusals at an entry that has just started, by shares that it cannot know yet.
TEST_F(PriorityAdmissionFixture, decide_entryWithoutHistory_admitsByWaitAlone)
{
    PriorityAdmission admission(3);
    const TimePoint start = TimePoint(1h);
    for (int i = 0; i < 8; ++i) {
        EXPECT_EQ(admission.decide({2, 0.99, 200, 450, StrictestMs}, start + i * 60ms),
                RankedVerdict::Admitted);
    }
    EXPECT_EQ(admission.decide({0, 0, 200, 180, StrictestMs}, start + 500ms), RankedVerdict::Full);
}

} // namespace oriolerill::routing
