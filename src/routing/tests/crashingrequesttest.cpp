#include "routing/tests/crashattributionfixture.h"

namespace oriolerill::routing {

/// Whole requests that crash engines, with or without parts of a prompt.
class CrashingRequestFixture : public CrashAttributionFixture
{
protected:
    static RequestTrait whole(std::string id)
    {
        return RequestTrait(std::move(id), RequestTrait::Kind::WholeRequest);
    }
    /// A request with the account's instructions in its prompt, if it has a prompt.
    static Traits request(std::string id, bool hasPrompt = true)
    {
        Traits all{whole(std::move(id))};
        if (hasPrompt)
            all.emplace_back("account");
        return all;
    }
    /// One crash of an engine by each request, 200 ms apart, each seen by another entry.
    void crashEach(const std::vector<std::string> &ids, bool hasPrompt = true)
    {
        for (const std::string &id : ids)
            crashAt(m_nextEntry++ % Entries, request(id, hasPrompt));
    }

    std::size_t m_nextEntry = 0;
};

// Regression: a request without parts of a prompt left no evidence and crashed engine after engine
// (deadly-orders on probador-rill, BUDGET).
TEST_F(CrashingRequestFixture, decide_requestWithoutPromptCrashesThreeEngines_onlyItRefusedByAll)
{
    crashEach({"bad", "bad"}, false);
    EXPECT_FALSE(isRefused(0, request("bad", false)));
    crashEach({"bad"}, false);
    for (std::size_t entry = 0; entry < Entries; ++entry) {
        EXPECT_TRUE(isRefused(entry, request("bad", false)));
        EXPECT_FALSE(isRefused(entry, request("good", false)));
    }
}

// Regression: a request whose prompt has only sound parts was never refused (deadly on
// probador-rill, BUDGET).
TEST_F(CrashingRequestFixture, decide_requestWithSoundPartsCrashesThreeEngines_onlyItRefused)
{
    for (int i = 0; i < 3; ++i) {
        m_entries[0].onAnswerBegun(request("good"), 1, m_now);
        crashEach({"bad"});
    }
    EXPECT_TRUE(isRefused(1, request("bad")));
    EXPECT_FALSE(isRefused(1, request("good")));
    EXPECT_FALSE(isRefused(1, request("new")));
}

// Guards against bad requests that hide each other: none of them has half of the crashes.
TEST_F(CrashingRequestFixture, decide_fourBadRequestsInTurn_eachRefusedAtFourthCrash)
{
    for (int i = 0; i < 4; ++i)
        crashEach({"a", "b", "c", "d"}, false);
    for (const char *bad : {"a", "b", "c", "d"})
        EXPECT_TRUE(isRefused(2, request(bad, false))) << bad;
}

// Guards against a prompt part and a request that crash engines at once, one of which hides the
// other.
TEST_F(CrashingRequestFixture, decide_badPartBesideBadRequest_bothRefused)
{
    for (int i = 0; i < 4; ++i) {
        crashAt(0, {whole("r" + std::to_string(i)), RequestTrait("part")});
        crashEach({"bad"}, false);
    }
    EXPECT_TRUE(isRefused(1, {whole("new"), RequestTrait("part")}));
    EXPECT_TRUE(isRefused(1, request("bad", false)));
    EXPECT_FALSE(isRefused(1, request("r0", false)));
}

// Guards against the text of a prompt part that is the digest of another caller's request.
TEST_F(CrashingRequestFixture, decide_promptPartWithDigestOfRequest_requestNotRefused)
{
    for (int i = 0; i < 4; ++i)
        crashAt(0, traits({"victim"}));
    EXPECT_TRUE(isRefused(0, traits({"victim"})));
    EXPECT_FALSE(isRefused(0, request("victim", false)));
}

// Guards against sound requests that are refused because callers send copies of them at once while
// a quarter of all engines ends for another reason, at one moment or within half a second.
TEST_F(CrashingRequestFixture, decide_copiesInProgressWhenQuarterOfEnginesEnds_nothingRefused)
{
    constexpr std::size_t Engines = 40;
    constexpr int Requests = 60;
    constexpr int Copies = 4;
    constexpr int Rounds = 40;
    std::mt19937 random(20261206);
    for (const auto between : {0ms, 12ms}) {
        for (int round = 0; round < Rounds; ++round) {
            for (CrashAttribution &entry : m_entries)
                entry = CrashAttribution();
            std::vector<Traits> running(Engines);
            for (int i = 0; i < Requests * Copies; ++i)
                running[random() % Engines].push_back(whole(std::to_string(i / Copies)));
            for (std::size_t engine = 0; engine < Engines; ++engine) {
                m_now += between;
                const std::string id = std::to_string(++m_crashes);
                for (std::size_t i = 0; i < running[engine].size(); ++i) {
                    const std::size_t entry = random() % Entries;
                    const Traits used{running[engine][i]};
                    if (engine % 4 != 0) {
                        m_entries[entry].onAnswerBegun(used, 1, m_now);
                        continue;
                    }
                    m_entries[entry].onCrash(
                            {{domain::EndpointId("e" + id), 1},
                                    domain::RequestId(id + "/" + std::to_string(i)), used, 1,
                                    m_now},
                            m_now);
                }
                for (std::size_t entry = 0; entry < Entries; ++entry)
                    deliver(entry);
            }
            for (const CrashAttribution &entry : m_entries)
                EXPECT_TRUE(entry.refused().empty()) << "round " << round;
        }
    }
}

// Guards against a sound request that is in progress at each crash of a bad one: it is answered
// elsewhere meanwhile.
TEST_F(CrashingRequestFixture, decide_popularRequestInProgressAtEachCrash_onlyBadOneRefused)
{
    for (int i = 0; i < 6; ++i) {
        m_entries[0].onAnswerBegun(request("popular"), 1, m_now);
        EngineCrash observed = crash(request("bad"));
        m_entries[1].onCrash(observed, m_now);
        observed.request = domain::RequestId("p" + std::to_string(i));
        observed.traits = request("popular");
        m_entries[2].onCrash(observed, m_now);
        for (const std::size_t entry : {1U, 2U, 0U})
            deliver(entry);
        m_now += 400ms;
    }
    EXPECT_TRUE(isRefused(2, request("bad")));
    for (std::size_t entry = 0; entry < Entries; ++entry)
        EXPECT_FALSE(isRefused(entry, request("popular"))) << entry;
}

// Guards against trials without end: the operators allow three arrivals after the third crash.
TEST_F(CrashingRequestFixture, decide_trialsCrashEngines_noneAfterFifthCrash)
{
    crashEach({"bad", "bad", "bad"});
    for (int trial = 0; trial < 2; ++trial) {
        m_now += 2h;
        EXPECT_TRUE(isTrialDue(0, request("bad")));
        crashEach({"bad"});
    }
    m_now += 10h;
    EXPECT_FALSE(isTrialDue(0, request("bad")));
    EXPECT_FALSE(isTrialDue(0, request("bad"), 7));
    EXPECT_TRUE(isRefused(0, request("bad")));
}

// Guards against an entry that starts late and does not learn of all bad requests, because their
// crashes do not fit into one message.
TEST_F(CrashingRequestFixture, encode_moreCrashesThanMessageHolds_allSentInTurn)
{
    constexpr std::size_t BadRequests = 10;
    for (std::size_t i = 0; i < BadRequests; ++i) {
        const std::string id = "bad" + std::to_string(i);
        crashEach({id, id, id, id}, false);
        m_now += 5s;
    }
    CrashAttribution late;
    for (int second = 0; second < 60; ++second) {
        const protocol::CrashEvidence message = m_entries[0].evidence().encode(m_now);
        EXPECT_LE(message.ByteSizeLong(), 1200U);
        late.onEvidence(message, m_now);
        m_now += 1s;
    }
    EXPECT_EQ(late.refused().size(), BadRequests);
}

// Guards against two requests that count as the same one, and against one that counts as another
// when a caller repeats it.
TEST(WholeRequest, wholeRequest_anyFieldDiffers_otherTrait)
{
    const RequestTrait request = wholeRequest("POST", "a.example", "/x?y=1", "acc", "body");
    EXPECT_EQ(request, wholeRequest("POST", "a.example", "/x?y=1", "acc", "body"));
    EXPECT_NE(request, wholeRequest("PUT", "a.example", "/x?y=1", "acc", "body"));
    EXPECT_NE(request, wholeRequest("POST", "b.example", "/x?y=1", "acc", "body"));
    EXPECT_NE(request, wholeRequest("POST", "a.example", "/x?y=2", "acc", "body"));
    EXPECT_NE(request, wholeRequest("POST", "a.example", "/x?y=1", "other", "body"));
    EXPECT_NE(request, wholeRequest("POST", "a.example", "/x?y=1", "acc", "other"));
    EXPECT_NE(request, wholeRequest("POST", "a.example/x", "?y=1", "acc", "body"));
}

} // namespace oriolerill::routing
