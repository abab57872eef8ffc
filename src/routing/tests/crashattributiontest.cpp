#include "routing/tests/crashattributionfixture.h"

namespace oriolerill::routing {

// Guards against requests of one kind that crash one engine after the other: each entry has seen a
// single crash, and all of them refuse after the third.
TEST_F(CrashAttributionFixture, decide_eachCrashSeenByAnotherEntry_refusedByAll)
{
    for (std::size_t entry = 0; entry < Entries; ++entry) {
        EXPECT_FALSE(isRefused(0, traits({"account", "bad"})));
        crashAt(entry, traits({"account", "bad"}));
        m_entries[entry].onAnswerBegun(traits({"account"}), 1, m_now);
        deliver(entry);
    }
    for (std::size_t entry = 0; entry < Entries; ++entry) {
        EXPECT_TRUE(isRefused(entry, traits({"account", "bad"})));
        EXPECT_TRUE(isRefused(entry, traits({"other", "bad"})));
        EXPECT_FALSE(isRefused(entry, traits({"account", "good"})));
    }
}

// Guards against an entry that goes by the order or number of messages: with lost, repeated and
// reordered ones it refuses as soon as the union of what it received suffices.
TEST_F(CrashAttributionFixture, onEvidence_messagesLostRepeatedReordered_sameDecision)
{
    std::vector<protocol::CrashEvidence> messages;
    for (int i = 0; i < 3; ++i) {
        m_now += 200ms;
        m_entries[0].onCrash(crash(traits({"bad"})), m_now);
        messages.push_back(m_entries[0].evidence().encode(m_now));
    }
    m_entries[1].onEvidence(messages[2], m_now);
    EXPECT_TRUE(isRefused(1, traits({"bad"})));
    for (const int i : {1, 0, 1, 2})
        m_entries[1].onEvidence(messages[static_cast<std::size_t>(i)], m_now);
    EXPECT_TRUE(isRefused(1, traits({"bad"})));
    EXPECT_EQ(m_entries[1].evidence().crashes().size(), 3U);
}

// Guards against popular sound traits that are blamed because they are in progress at each crash.
TEST_F(CrashAttributionFixture, decide_answeredPartsInProgressAtEachCrash_onlyUnansweredRefused)
{
    for (int i = 0; i < 10; ++i) {
        m_entries[0].onAnswerBegun(traits({"account", "popular"}), 1, m_now);
        crashAt(0, traits({"account", "popular"}));
        crashAt(1, traits({"account", "bad"}));
        m_now += 100ms;
    }
    // An entry that has never had such a request learns from the others that they are answered.
    deliver(0);
    EXPECT_FALSE(isRefused(2, traits({"account", "popular"})));
    EXPECT_TRUE(isRefused(2, traits({"bad"})));
}

// Guards against sound traits that are blamed for crashes of a bad trait beside them: the bad one
// is in more crashes and explains all of theirs.
TEST_F(CrashAttributionFixture, decide_rarePartsBesideBadOne_onlyBadOneRefused)
{
    for (int i = 0; i < 4; ++i) {
        m_now += 200ms;
        EngineCrash bad = crash(traits({"bad"}));
        m_entries[0].onCrash(bad, m_now);
        if (i > 0) {
            bad.request = domain::RequestId("beside" + std::to_string(i));
            bad.traits = traits({"rare"});
            m_entries[0].onCrash(bad, m_now);
        }
    }
    EXPECT_TRUE(isRefused(0, traits({"bad"})));
    EXPECT_FALSE(isRefused(0, traits({"rare"})));
}

// Guards against a sound trait that is refused only because an account always sends it beside a bad
// one: the evidence does not distinguish them, so only requests with both are refused.
TEST_F(CrashAttributionFixture, decide_partsAlwaysTogether_onlyRequestsWithBothRefused)
{
    for (int i = 0; i < 3; ++i)
        crashAt(0, traits({"bad", "victim"}));
    EXPECT_TRUE(isRefused(1, traits({"bad", "victim"})));
    EXPECT_FALSE(isRefused(1, traits({"victim"})));
    m_entries[1].onAnswerBegun(traits({"victim"}), 1, m_now);
    EXPECT_TRUE(isRefused(1, traits({"bad"})));
    EXPECT_FALSE(isRefused(1, traits({"victim"})));
}

// Guards against one bad trait that hides another: two at once, and a third one later.
TEST_F(CrashAttributionFixture, decide_severalBadParts_eachRefused)
{
    for (int i = 0; i < 3; ++i) {
        crashAt(0, traits({"bad1"}));
        crashAt(1, traits({"bad2"}));
    }
    EXPECT_TRUE(isRefused(2, traits({"bad1"})));
    EXPECT_TRUE(isRefused(2, traits({"bad2"})));
    m_now += 20s;
    for (int i = 0; i < 3; ++i)
        crashAt(2, traits({"bad3"}));
    for (const char *bad : {"bad1", "bad2", "bad3"})
        EXPECT_TRUE(isRefused(0, traits({bad}))) << bad;
}

// Guards against traits that are refused although engines crash for another reason: a quarter of 40
// engines within a second, beside entries without any memory, several times.
TEST_F(CrashAttributionFixture, decide_quarterOfEnginesCrashWithoutBadPart_nothingRefused)
{
    constexpr int Engines = 40;
    constexpr int RequestsPerEngine = 4;
    constexpr int PartsInUse = 30;
    std::mt19937 random(20261205);
    for (int round = 0; round < 50; ++round) {
        CrashAttributionOptions options;
        options.startedAt = m_now;
        for (CrashAttribution &entry : m_entries)
            entry = CrashAttribution(options);
        const int firstCrashed = static_cast<int>(random() % Engines);
        for (int engine = 0; engine < Engines; ++engine) {
            m_now += 25ms;
            const bool isCrashed = (engine + firstCrashed) % 4 == 0;
            const std::string id = std::to_string(++m_crashes);
            for (int i = 0; i < RequestsPerEngine; ++i) {
                const Traits used = traits({("a" + std::to_string(random() % 10)).c_str(),
                        ("p" + std::to_string(random() % PartsInUse)).c_str()});
                const std::size_t entry = random() % Entries;
                if (!isCrashed) {
                    m_entries[entry].onAnswerBegun(used, 1, m_now);
                    continue;
                }
                m_entries[entry].onCrash(
                        {{domain::EndpointId("e" + id), 1},
                                domain::RequestId(id + "/" + std::to_string(i)), used, 1, m_now},
                        m_now);
            }
            for (std::size_t entry = 0; entry < Entries; ++entry)
                deliver(entry);
        }
        for (const CrashAttribution &entry : m_entries)
            EXPECT_TRUE(entry.refused().empty())
                    << "round " << round << ", trait " << entry.refused().front().traits.front()
                    << ", crashes " << entry.refused().front().crashes.size();
    }
}

// Guards against an entry that has just started and ignores what the others have found before, and
// against one that never refuses what crashes engines while it starts.
TEST_F(CrashAttributionFixture, decide_entryJustStarted_earlierCrashesCountAndOwnOnesInNumber)
{
    for (int i = 0; i < 3; ++i)
        crashAt(0, traits({"bad"}));
    CrashAttributionOptions options;
    options.startedAt = m_now;
    m_entries[2] = CrashAttribution(options);
    m_entries[2].onEvidence(m_entries[0].evidence().encode(m_now), m_now);
    EXPECT_TRUE(isRefused(2, traits({"bad"})));
    for (int i = 0; i < 6; ++i) {
        EXPECT_FALSE(isRefused(2, traits({"other"})));
        crashAt(0, traits({"other"}));
    }
    EXPECT_TRUE(isRefused(2, traits({"other"})));
}

// Guards against a trait that is refused for ever: a trial is due after a time that doubles with
// each further crash, and an answer to it allows the trait at all entries.
TEST_F(CrashAttributionFixture, decide_trialAnswered_allowedAtAllEntries)
{
    for (int i = 0; i < 3; ++i)
        crashAt(0, traits({"bad"}));
    m_now += 59s;
    EXPECT_FALSE(isTrialDue(1, traits({"bad"})));
    m_now += 2s;
    EXPECT_TRUE(isTrialDue(1, traits({"bad"})));
    crashAt(1, traits({"bad"}));
    m_now += 61s;
    EXPECT_FALSE(isTrialDue(1, traits({"bad"})));
    m_now += 60s;
    EXPECT_TRUE(isTrialDue(1, traits({"bad"})));
    m_entries[1].grantTrial(traits({"bad"}), m_now);
    const TraitsDecision trial = m_entries[1].decide(traits({"bad"}), 1, m_now);
    ASSERT_TRUE(std::holds_alternative<TraitsUsable>(trial));
    EXPECT_TRUE(std::get<TraitsUsable>(trial).isTrial);
    // The grant is for one request.
    EXPECT_TRUE(isRefused(1, traits({"bad"})));
    const auto update = m_entries[1].onAnswerBegun(traits({"bad"}), 1, m_now);
    EXPECT_TRUE(update.isNews);
    ASSERT_EQ(update.changes.size(), 1U);
    EXPECT_EQ(std::get<TraitsAllowed>(update.changes.front()).reason,
            TraitsAllowed::Reason::Answered);
    deliver(1);
    for (std::size_t entry = 0; entry < Entries; ++entry)
        EXPECT_FALSE(isRefused(entry, traits({"bad"})));
}

// Guards against a mended trait that stays refused although new weights are in force, and against a
// trial on each of several versions in a row.
TEST_F(CrashAttributionFixture, decide_newWeightsRequired_trialDueEarlier)
{
    for (int i = 0; i < 3; ++i)
        crashAt(0, traits({"bad"}), 1);
    m_now += 6s;
    EXPECT_FALSE(isTrialDue(0, traits({"bad"}), 1));
    EXPECT_TRUE(isTrialDue(0, traits({"bad"}), 2));
    crashAt(0, traits({"bad"}), 2);
    m_now += 6s;
    EXPECT_FALSE(isTrialDue(0, traits({"bad"}), 3));
    m_now += 5s;
    EXPECT_TRUE(isTrialDue(0, traits({"bad"}), 3));
}

// Guards against a trait that was sound with older weights and is never blamed with newer ones.
TEST_F(CrashAttributionFixture, decide_answeredWithOlderWeightsOnly_refused)
{
    m_entries[0].onAnswerBegun(traits({"bad"}), 1, m_now);
    for (int i = 0; i < 3; ++i)
        crashAt(0, traits({"bad"}), 2);
    EXPECT_TRUE(isRefused(0, traits({"bad"}), 2));
}

// Guards against a trait that is never blamed because engines answered it before their program
// changed.
TEST_F(CrashAttributionFixture, decide_answeredLongBeforeCrashes_refused)
{
    m_entries[0].onAnswerBegun(traits({"changed"}), 1, m_now);
    for (int i = 0; i < 3; ++i)
        crashAt(0, traits({"changed"}));
    EXPECT_FALSE(isRefused(0, traits({"changed"})));
    m_now += 2min;
    for (int i = 0; i < 3; ++i)
        crashAt(0, traits({"changed"}));
    EXPECT_TRUE(isRefused(0, traits({"changed"})));
}

// Guards against a further attempt that crashes a second engine for one request.
TEST_F(CrashAttributionFixture, isSuspected_twoCrashesInCommon_notSentAgain)
{
    crashAt(0, traits({"bad"}));
    EXPECT_FALSE(m_entries[1].isSuspected(traits({"bad"})));
    crashAt(0, traits({"bad"}));
    EXPECT_TRUE(m_entries[1].isSuspected(traits({"good", "bad"})));
    EXPECT_FALSE(m_entries[1].isSuspected(traits({"good"})));
}

// Guards against several requests at one engine that count as several crashes.
TEST_F(CrashAttributionFixture, decide_manyRequestsAtOneCrash_countedOnce)
{
    EngineCrash observed = crash(traits({"new"}));
    for (int i = 0; i < 5; ++i) {
        observed.request = domain::RequestId("r" + std::to_string(i));
        m_entries[0].onCrash(observed, m_now);
    }
    EXPECT_FALSE(isRefused(0, traits({"new"})));
    EXPECT_FALSE(m_entries[0].isSuspected(traits({"new"})));
}

// Guards against memory that grows with the traits that a caller invents, and against a caller that
// hides or evicts the evidence against a bad trait in this way.
TEST_F(CrashAttributionFixture, onCrash_partsInventedWithoutEnd_memoryBoundedAndBadPartStillRefused)
{
    for (int i = 0; i < 3; ++i)
        crashAt(0, traits({"bad"}));
    for (int i = 0; i < 2000; ++i) {
        Traits invented;
        for (int trait = 0; trait < 40; ++trait)
            invented.emplace_back("x" + std::to_string(i) + "-" + std::to_string(trait));
        m_entries[0].onCrash(crash(invented), m_now);
        m_entries[0].onAnswerBegun(invented, 1, m_now);
        m_now += 1ms;
    }
    EXPECT_LE(m_entries[0].evidence().crashes().size(), CrashEvidenceOptions().maxCrashes);
    EXPECT_GT(m_entries[0].evidence().evictedCount(), 0U);
    EXPECT_LE(m_entries[0].evidence().encode(m_now).ByteSizeLong(), 1200U);
    EXPECT_TRUE(isRefused(0, traits({"bad"})));
    // An entry that starts now learns of it from one message.
    m_entries[2] = CrashAttribution();
    m_entries[2].onEvidence(m_entries[0].evidence().encode(m_now), m_now);
    EXPECT_TRUE(isRefused(2, traits({"bad"})));
}

// Guards against evidence that is kept for ever: isolated crashes are forgotten, and so is the
// evidence against a trait after a day without requests.
TEST_F(CrashAttributionFixture, expire_oldEvidence_removed)
{
    crashAt(0, traits({"once"}));
    for (int i = 0; i < 3; ++i)
        crashAt(0, traits({"bad"}));
    m_now += 11min;
    m_entries[0].expire(m_now);
    EXPECT_EQ(m_entries[0].evidence().crashes().size(), 3U);
    m_now += 24h;
    const auto update = m_entries[0].expire(m_now);
    EXPECT_TRUE(m_entries[0].evidence().isEmpty());
    ASSERT_EQ(update.changes.size(), 1U);
    EXPECT_EQ(
            std::get<TraitsAllowed>(update.changes.front()).reason, TraitsAllowed::Reason::Expired);
}

} // namespace oriolerill::routing
