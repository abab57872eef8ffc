#include "routing/weightsrequirement.h"

#include <gtest/gtest.h>

#include <limits>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::ModelId;
using domain::TimePoint;

class WeightsRequirementFixture : public testing::Test
{
protected:
    /// Version of the store at which agents publish a naming, unless a test uses another.
    static constexpr domain::ConfigVersion StoreVersion{1, 7};
    static constexpr domain::ConfigVersion LaterStoreVersion{1, 8};

    static domain::SocketAddress agent(int number)
    {
        return {"10.0.0." + std::to_string(number), 8100};
    }

    NamedVersion named(std::uint64_t version, TimePoint at) const { return {m_model, version, at}; }
    /// Two agents that have no naming time publish the version.
    void publishUntimed(WeightsRequirement &requirement, std::uint64_t version, TimePoint now) const
    {
        for (const int number : {1, 2}) {
            requirement.onPublished(
                    {m_model, version, std::nullopt}, StoreVersion, agent(number), now);
        }
    }

    WeightsRequirementOptions options() const
    {
        WeightsRequirementOptions options;
        options.startedAt = m_start;
        return options;
    }

    const ModelId m_model{"m"};
    const TimePoint m_start = TimePoint::clock::now();
};

// Regression: an entry whose first read of the store took long required the version that it found
// there seconds after the operator's rules required it.
TEST_F(WeightsRequirementFixture,
        requiredVersion_versionFoundLateAfterStart_requiredAsIfFoundAtOnce)
{
    WeightsRequirement requirement(options());
    requirement.onNamed(m_model, 2, true, m_start + 2s);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 2400ms), 0U);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 2500ms), 2U);
}

// Guards against a request that waits at an older engine until the later bound of another version.
TEST_F(WeightsRequirementFixture, beginDeadline_twoVersionsNamed_boundOfFirstNewerOne)
{
    const WeightsRequirementOptions bounds = options();
    WeightsRequirement requirement(bounds);
    requirement.onNamed(m_model, 2, false, m_start);
    requirement.onNamed(m_model, 3, false, m_start + 4s);
    const auto late = bounds.bound - bounds.withdrawalMargin;
    EXPECT_EQ(requirement.beginDeadline(m_model, 1), m_start + late);
    EXPECT_EQ(requirement.beginDeadline(m_model, 2), m_start + 4s + late);
    EXPECT_EQ(requirement.beginDeadline(m_model, 3), std::nullopt);
}

// Regression: an entry that received a naming late counted the bound from then on, and sent
// requests to older engines after the operator's bound.
TEST_F(WeightsRequirementFixture, requiredVersion_namingReceivedLate_boundFromEarliestNamingTime)
{
    WeightsRequirement requirement(options());
    requirement.onNamed(m_model, 2, false, m_start + 3s);
    requirement.onNamingTime(m_model, 2, m_start);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 6300ms), 2U);
    // An agent may publish the time before the store can be reached.
    requirement.onNamingTime(m_model, 3, m_start + 1s);
    EXPECT_EQ(requirement.newestVersion(m_model), 2U);
    requirement.onNamed(m_model, 3, false, m_start + 7s);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 7300ms), 3U);
}

// Guards against requiring a version that the store has not named: a single datagram could exclude
// all engines.
TEST_F(WeightsRequirementFixture, onNamingTime_versionNotNamedByTheStore_notRequired)
{
    WeightsRequirement requirement(options());
    for (std::uint64_t version = 2; version < 100; ++version)
        requirement.onNamingTime(m_model, version, m_start - 1h);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 10s), 0U);
    requirement.onNamed(m_model, 200, false, m_start);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 10s), 200U);
}

// Guards against a single wrong agent that excludes all older engines, and against agents'
// statements that apply although the store does not have the version.
TEST_F(WeightsRequirementFixture, onPublished_oneAgentOrRefutedByTheStore_notRequired)
{
    const domain::SocketAddress first{"10.0.0.1", 8100};
    const domain::SocketAddress second{"10.0.0.2", 8100};
    WeightsRequirement requirement(options());
    EXPECT_FALSE(requirement.onPublished(named(2, m_start), StoreVersion, first, m_start));
    EXPECT_FALSE(requirement.onPublished(named(2, m_start), StoreVersion, first, m_start));
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 8s), 0U);
    EXPECT_TRUE(requirement.onPublished(named(2, m_start), StoreVersion, second, m_start));
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 6200ms), 0U);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 6300ms), 2U);
    EXPECT_LE(requirement.beginDeadline(m_model, 1).value(), m_start + 8s);
    // The first read may have been sent before the version was named.
    requirement.onStoreRead();
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 8s), 2U);
    requirement.onStoreRead();
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 8s), 0U);
    EXPECT_FALSE(requirement.onPublished(named(2, m_start), StoreVersion, second, m_start));
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 8s), 0U);
    requirement.onNamed(m_model, 2, false, m_start + 8s);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 14300ms), 2U);
}

// Regression: published namings had no effect after maxVersions versions from the store, which were
// never removed.
TEST_F(WeightsRequirementFixture, onPublished_manyVersionsNamedBefore_required)
{
    WeightsRequirement requirement(options());
    const std::uint64_t last = options().maxVersions;
    for (std::uint64_t version = 1; version <= last; ++version)
        requirement.onNamed(m_model, version, false, m_start);
    requirement.onPublished(
            named(last + 1, m_start + 10s), StoreVersion, {"10.0.0.1", 8100}, m_start + 10s);
    EXPECT_TRUE(requirement.onPublished(
            named(last + 1, m_start + 10s), StoreVersion, {"10.0.0.2", 8100}, m_start + 10s));
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 17s), last + 1);
}

// Guards against one sender whose naming times, for versions that do not exist, leave no room for
// the version that agents publish.
TEST_F(WeightsRequirementFixture, onPublished_namingTimesOfNonexistentVersions_required)
{
    WeightsRequirement requirement(options());
    for (std::uint64_t version = 100; version < 100 + options().maxVersions; ++version)
        requirement.onNamingTime(m_model, version, m_start);
    requirement.onPublished(named(2, m_start), StoreVersion, {"10.0.0.1", 8100}, m_start);
    EXPECT_TRUE(
            requirement.onPublished(named(2, m_start), StoreVersion, {"10.0.0.2", 8100}, m_start));
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 7s), 2U);
}

// Guards against a version that was once published wrongly and has no effect when it is named
// later, while the store is unreachable.
TEST_F(WeightsRequirementFixture, onPublished_refutedVersionNamedLater_required)
{
    const domain::SocketAddress first{"10.0.0.1", 8100};
    const domain::SocketAddress second{"10.0.0.2", 8100};
    WeightsRequirement requirement(options());
    requirement.onPublished(named(2, m_start), StoreVersion, first, m_start);
    requirement.onStoreRead();
    requirement.onStoreRead();
    requirement.onPublished(named(2, m_start + 60s), LaterStoreVersion, first, m_start + 60s);
    requirement.onPublished(named(2, m_start + 60s), LaterStoreVersion, second, m_start + 60s);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 67s), 2U);
}

// Guards against a single agent's naming time for a version that is in force by other agents: it
// would exclude all older engines at once.
TEST_F(WeightsRequirementFixture, onPublished_oneAgentStatesEarlierTime_timeOfOthersApplies)
{
    WeightsRequirement requirement(options());
    requirement.onPublished(named(2, m_start), StoreVersion, {"10.0.0.1", 8100}, m_start);
    requirement.onPublished(named(2, m_start), StoreVersion, {"10.0.0.2", 8100}, m_start);
    requirement.onPublished(named(2, m_start - 1h), StoreVersion, {"10.0.0.3", 8100}, m_start);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 1s), 0U);
}

// Guards against logs and metrics of a request with an older newest version than the version that
// was required.
TEST_F(WeightsRequirementFixture, newestVersion_versionInForceByAgents_notOlderThanRequired)
{
    WeightsRequirement requirement(options());
    requirement.onNamed(m_model, 1, false, m_start - 20s);
    requirement.onPublished(named(2, m_start), StoreVersion, {"10.0.0.1", 8100}, m_start);
    requirement.onPublished(named(2, m_start), StoreVersion, {"10.0.0.2", 8100}, m_start);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 7s), 2U);
    EXPECT_EQ(requirement.newestVersion(m_model), 2U);
}

// Guards against ages in datagrams that overflow the clock.
TEST_F(WeightsRequirementFixture, decodeNamedVersion_ageOutOfRange_clamped)
{
    protocol::NamedWeights message;
    message.set_model("m");
    message.set_version(2);
    message.set_age_ms(std::numeric_limits<std::uint64_t>::max());
    EXPECT_EQ(decodeNamedVersion(message, m_start).namedAt, m_start - 1h);
    const NamedVersion version{m_model, 2, m_start - 1500ms};
    const NamedVersion copy = decodeNamedVersion(encodeNamedVersion(version, m_start), m_start);
    EXPECT_EQ(copy.namedAt, version.namedAt);
}

// Guards against losing a bound when two versions are named in a short time and this process reads
// only the second: the store holds the newest alone, and other processes have published when the
// first was named.
TEST_F(WeightsRequirementFixture, requiredVersion_versionReplacedBeforeItWasRead_itsBoundApplies)
{
    WeightsRequirement requirement(options());
    requirement.onNamingTime(m_model, 2, m_start);
    requirement.onNamingTime(m_model, 3, m_start + 4s);
    requirement.onNamed(m_model, 3, false, m_start + 4500ms);
    EXPECT_GE(requirement.requiredVersion(m_model, m_start + 6300ms), 2U);
    EXPECT_LE(requirement.beginDeadline(m_model, 1).value(), m_start + 8s);
}

// Guards against an entry that starts after the second of two namings and requires nothing until
// the bound of the second, although that of the first has passed.
TEST_F(WeightsRequirementFixture, requiredVersion_startedBetweenTwoBounds_boundOfFirstApplies)
{
    WeightsRequirementOptions started = options();
    started.startedAt = m_start + 4100ms;
    WeightsRequirement requirement(started);
    requirement.onNamed(m_model, 3, true, m_start + 4200ms);
    requirement.onNamingTime(m_model, 2, m_start);
    requirement.onNamingTime(m_model, 3, m_start + 4s);
    EXPECT_GE(requirement.requiredVersion(m_model, m_start + 8s), 2U);
}

// Guards against withdrawing a requirement when a process that received the naming late publishes
// its time.
TEST_F(WeightsRequirementFixture, onNamingTime_afterGraceAtStart_requirementKept)
{
    WeightsRequirement requirement(options());
    requirement.onNamed(m_model, 2, true, m_start);
    ASSERT_EQ(requirement.requiredVersion(m_model, m_start + 2500ms), 2U);
    requirement.onNamingTime(m_model, 2, m_start + 2900ms);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 3s), 2U);
}

// Guards against naming times of other versions that displace the version which the store names.
TEST_F(WeightsRequirementFixture, onNamed_timesOfHigherVersionsKnown_namedVersionKept)
{
    WeightsRequirement requirement(options());
    for (std::uint64_t version = 1000; version < 1100; ++version)
        requirement.onNamingTime(m_model, version, m_start);
    requirement.onNamed(m_model, 2, false, m_start);
    EXPECT_EQ(requirement.newestVersion(m_model), 2U);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 10s), 2U);
}

// Regression: after a restart of all processes nobody has the time of a naming, and an entry that
// could not read the store chose engines with older weights although all agents published the
// naming.
TEST_F(WeightsRequirementFixture, onPublished_withoutTimeAndOwnRead_requiredAfterGraceAtStart)
{
    WeightsRequirement requirement(options());
    publishUntimed(requirement, 2, m_start + 1s);
    EXPECT_EQ(requirement.newestVersion(m_model), 2U);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 2400ms), 0U);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 2500ms), 2U);
    // A single process may have received the naming late, and this one cannot check that.
    requirement.onNamingTime(m_model, 2, m_start + 900ms);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 2500ms), 2U);
}

// Guards against a single agent without a naming time, counted once for each of its reports, that
// excludes all older engines.
TEST_F(WeightsRequirementFixture, onPublished_oneAgentWithoutTimeTwice_notRequired)
{
    WeightsRequirement requirement(options());
    const NamedVersion version{m_model, 2, std::nullopt};
    EXPECT_FALSE(requirement.onPublished(version, StoreVersion, agent(1), m_start));
    EXPECT_FALSE(requirement.onPublished(version, LaterStoreVersion, agent(1), m_start + 1s));
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 10s), 0U);
    EXPECT_EQ(requirement.beginDeadline(m_model, 1), std::nullopt);
    EXPECT_TRUE(requirement.onPublished(version, LaterStoreVersion, agent(2), m_start + 1s));
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 10s), 2U);
}

// Guards against an entry up for long that refuses all requests after a restart of the agents,
// although its copy was proved without the naming shortly before, and against requests to older
// engines after the bound from that proof.
TEST_F(WeightsRequirementFixture, onPublished_withoutTimeAfterProof_boundFromProof)
{
    WeightsRequirement requirement(options());
    requirement.onCopyProven(m_start + 58s);
    requirement.onCopyProven(m_start + 59s);
    publishUntimed(requirement, 2, m_start + 60s);
    // A proof after the publication contradicts it; only complete reads refute the naming.
    requirement.onCopyProven(m_start + 62s);
    publishUntimed(requirement, 2, m_start + 63s);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 65200ms), 0U);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 65300ms), 2U);
    EXPECT_LE(requirement.beginDeadline(m_model, 1).value(), m_start + 67s);
}

// Guards against an agent without a naming time that replaces the time of another one, and against
// a single agent's wrong time that excludes all older engines at once.
TEST_F(WeightsRequirementFixture, onPublished_oneAgentWithTimeOneWithout_timeNotBeforeProof)
{
    for (const bool isTimedFirst : {true, false}) {
        for (const auto &[stated, assumed] : {std::pair(m_start + 59500ms, m_start + 59500ms),
                     std::pair(m_start - 1h, m_start + 58s)}) {
            WeightsRequirement requirement(options());
            requirement.onCopyProven(m_start + 58s);
            const TimePoint now = m_start + 60s;
            for (const bool isTimed : {isTimedFirst, !isTimedFirst}) {
                if (isTimed)
                    requirement.onNamingTime(m_model, 2, stated);
                requirement.onPublished(
                        {m_model, 2, isTimed ? std::optional(stated) : std::nullopt}, StoreVersion,
                        agent(isTimed ? 1 : 2), now);
            }
            EXPECT_EQ(requirement.requiredVersion(m_model, assumed + 6200ms), 0U);
            EXPECT_EQ(requirement.requiredVersion(m_model, assumed + 6300ms), 2U);
            // Further agents without a time change nothing.
            requirement.onPublished({m_model, 2, std::nullopt}, StoreVersion, agent(3), now);
            EXPECT_EQ(requirement.requiredVersion(m_model, assumed + 6200ms), 0U);
        }
    }
}

// Guards against agents without a naming time that require a version before the bound from its
// known time.
TEST_F(WeightsRequirementFixture, onPublished_withoutTimeWhileTimeIsKnown_knownTimeApplies)
{
    WeightsRequirement requirement(options());
    requirement.onCopyProven(m_start + 50s);
    const TimePoint namedAt = m_start + 60s;
    for (const int number : {1, 2})
        requirement.onPublished(named(2, namedAt), StoreVersion, agent(number), namedAt);
    for (const int number : {1, 2, 3, 4}) {
        requirement.onPublished(
                {m_model, 2, std::nullopt}, StoreVersion, agent(number), namedAt + 1s);
    }
    EXPECT_EQ(requirement.requiredVersion(m_model, namedAt + 6200ms), 0U);
    EXPECT_EQ(requirement.requiredVersion(m_model, namedAt + 6300ms), 2U);
    // The same for a version that this process has read.
    requirement.onNamed(m_model, 3, false, namedAt + 5s);
    for (const int number : {1, 2, 3, 4}) {
        EXPECT_FALSE(requirement.onPublished(
                {m_model, 3, std::nullopt}, LaterStoreVersion, agent(number), namedAt + 6s));
    }
    EXPECT_EQ(requirement.requiredVersion(m_model, namedAt + 11200ms), 2U);
    EXPECT_EQ(requirement.requiredVersion(m_model, namedAt + 11300ms), 3U);
}

// Guards against refused requests between the earliest possible bound and the actual one: the
// agents receive the time of the naming a moment after they have published it without the time.
TEST_F(WeightsRequirementFixture, onPublished_timeReceivedLater_boundFromTime)
{
    WeightsRequirement requirement(options());
    requirement.onCopyProven(m_start + 50s);
    publishUntimed(requirement, 2, m_start + 60s);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 60s), 2U);
    const TimePoint namedAt = m_start + 59s;
    for (const int number : {1, 2})
        requirement.onPublished(named(2, namedAt), StoreVersion, agent(number), m_start + 61s);
    EXPECT_EQ(requirement.requiredVersion(m_model, namedAt + 6200ms), 0U);
    EXPECT_EQ(requirement.requiredVersion(m_model, namedAt + 6300ms), 2U);
}

// Guards against a process that receives a naming later than the agents and whose time then
// withdraws the requirement: requests would begin on older weights after the bound.
TEST_F(WeightsRequirementFixture, onPublished_timeAfterPublication_requirementKept)
{
    WeightsRequirement requirement(options());
    requirement.onCopyProven(m_start + 59s);
    publishUntimed(requirement, 2, m_start + 60s);
    const TimePoint late = m_start + 65s;
    requirement.onNamingTime(m_model, 2, late);
    for (const int number : {1, 2, 3})
        requirement.onPublished(named(2, late), StoreVersion, agent(number), late);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 65300ms), 2U);
    // The own read, too, is no observation of the naming.
    requirement.onNamed(m_model, 2, false, m_start + 66s);
    requirement.onCovered(StoreVersion);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 66s), 2U);
    EXPECT_LE(requirement.beginDeadline(m_model, 1).value(), m_start + 67s);
    requirement.onSuspended(1s);
    EXPECT_LE(requirement.beginDeadline(m_model, 1).value(), m_start + 66s);
}

// Guards against a bound that the second of two namings replaces, also that of a version which this
// process has read.
TEST_F(WeightsRequirementFixture, onPublished_twoVersionsWithoutTime_eachRequired)
{
    WeightsRequirement requirement(options());
    requirement.onNamed(m_model, 1, false, m_start + 55s);
    requirement.onCopyProven(m_start + 59s);
    publishUntimed(requirement, 2, m_start + 60s);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 61200ms), 0U);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 61300ms), 1U);
    publishUntimed(requirement, 3, m_start + 61s);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 65200ms), 1U);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 65300ms), 3U);
    EXPECT_LE(requirement.beginDeadline(m_model, 1).value(), m_start + 67s);
    EXPECT_LE(requirement.beginDeadline(m_model, 2).value(), m_start + 67s);
}

// Guards against losing the bound of a version that agents published without a time, when this
// process reads only the next version: the store holds the newest alone.
TEST_F(WeightsRequirementFixture, onNamed_newerThanVersionPublishedWithoutTime_boundsOfBothApply)
{
    WeightsRequirement requirement(options());
    requirement.onNamed(m_model, 1, true, m_start);
    requirement.onCopyProven(m_start + 59s);
    publishUntimed(requirement, 2, m_start + 60s);
    requirement.onNamed(m_model, 3, false, m_start + 64s);
    requirement.onCovered(StoreVersion);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 65200ms), 1U);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 65300ms), 2U);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 70200ms), 2U);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 70300ms), 3U);
    // Only what this process has read or has the time of is published on.
    for (const NamedVersion &version : requirement.newestVersions())
        EXPECT_NE(version.version, 2U);
}

// Guards against a single agent's wrong time of an older version that applies because agents
// publish a newer version without a time.
TEST_F(WeightsRequirementFixture, onNamingTime_newerVersionPublishedWithoutTime_notBeforeProof)
{
    WeightsRequirement requirement(options());
    requirement.onCopyProven(m_start + 59s);
    requirement.onNamingTime(m_model, 2, m_start - 1h);
    publishUntimed(requirement, 3, m_start + 60s);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 65200ms), 0U);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 65300ms), 3U);
}

// Guards against a suspension of the VM, which the monotonic clock does not count, that delays the
// bound: of a naming published before it, and of a copy that was proved before it.
TEST_F(WeightsRequirementFixture, onSuspended_versionPublishedWithoutTime_requiredEarlier)
{
    for (const bool isPublishedBefore : {true, false}) {
        WeightsRequirement requirement(options());
        requirement.onCopyProven(m_start + 59s);
        if (isPublishedBefore)
            publishUntimed(requirement, 2, m_start + 60s);
        requirement.onSuspended(4s);
        // The copy states the proof from before the suspension again.
        requirement.onCopyProven(m_start + 59s);
        publishUntimed(requirement, 2, m_start + 60s);
        EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 61200ms), 0U);
        EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 61300ms), 2U);
    }
    WeightsRequirement started(options());
    publishUntimed(started, 2, m_start);
    started.onSuspended(1s);
    EXPECT_EQ(started.requiredVersion(m_model, m_start + 1500ms), 2U);
    WeightsRequirement suspendedBefore(options());
    suspendedBefore.onSuspended(1s);
    publishUntimed(suspendedBefore, 2, m_start);
    EXPECT_EQ(suspendedBefore.requiredVersion(m_model, m_start + 1500ms), 2U);
}

// Guards against a version that stays required although the store does not have it, and against the
// copy of an older era that drops a naming of the newer one.
TEST_F(WeightsRequirementFixture, onPublished_withoutTimeRefutedOrCovered_notRequired)
{
    WeightsRequirement refuted(options());
    publishUntimed(refuted, 2, m_start);
    refuted.onStoreRead();
    EXPECT_EQ(refuted.requiredVersion(m_model, m_start + 3s), 2U);
    refuted.onStoreRead();
    publishUntimed(refuted, 2, m_start);
    EXPECT_EQ(refuted.requiredVersion(m_model, m_start + 3s), 0U);
    // An older version that is read in between keeps nothing of it.
    publishUntimed(refuted, 3, m_start);
    refuted.onNamed(m_model, 1, false, m_start);
    refuted.onStoreRead();
    refuted.onStoreRead();
    refuted.onNamed(m_model, 3, false, m_start + 10s);
    EXPECT_EQ(refuted.requiredVersion(m_model, m_start + 16200ms), 1U);
    EXPECT_EQ(refuted.requiredVersion(m_model, m_start + 16300ms), 3U);

    WeightsRequirement covered(options());
    publishUntimed(covered, 2, m_start);
    covered.onCovered({StoreVersion.epoch - 1, StoreVersion.revision + 9});
    EXPECT_EQ(covered.requiredVersion(m_model, m_start + 3s), 2U);
    covered.onCovered(StoreVersion);
    EXPECT_EQ(covered.requiredVersion(m_model, m_start + 3s), 0U);
}

// Guards against a single agent without naming times that fills the table, and against tables that
// grow with the agents.
TEST_F(WeightsRequirementFixture, onPublished_manyVersionsWithoutTime_required)
{
    WeightsRequirement requirement(options());
    for (std::uint64_t version = 100; version < 200; ++version) {
        requirement.onPublished({m_model, version, std::nullopt}, StoreVersion, agent(1), m_start);
    }
    for (int number = 1; number < 100; ++number)
        requirement.onPublished({m_model, 2, std::nullopt}, StoreVersion, agent(number), m_start);
    EXPECT_EQ(requirement.newestVersion(m_model), 2U);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 3s), 2U);
}

// Regression: a process that did not run while a version was named counted the bound from its
// resumption.
TEST_F(WeightsRequirementFixture, onPaused_namingReceivedAfterPauses_boundFromBeginOfFirstPause)
{
    WeightsRequirement requirement(options());
    requirement.onPaused(m_start + 10s, m_start + 13s);
    requirement.onPaused(m_start + 13100ms, m_start + 13600ms);
    requirement.onNamed(m_model, 2, false, m_start + 13700ms);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 16299ms), 0U);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 16300ms), 2U);
    // Received before the pause is noticed.
    requirement.onNamed(m_model, 3, false, m_start + 22s);
    requirement.onPaused(m_start + 20s, m_start + 22050ms);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 26300ms), 3U);
}

// Guards against a pause of one process that shortens the bound of all others: the earliest
// possible time of a naming is no observation, and is not published.
TEST_F(WeightsRequirementFixture, onPaused_namingReceivedAfterPause_onlyObservedTimesPublished)
{
    WeightsRequirement requirement(options());
    requirement.onCopyProven(m_start + 9s);
    requirement.onPaused(m_start + 10s, m_start + 13s);
    requirement.onNamed(m_model, 2, false, m_start + 13100ms);
    ASSERT_EQ(requirement.newestVersions().size(), 1U);
    EXPECT_EQ(requirement.newestVersions().front().namedAt, std::nullopt);
    // The time that another process observed applies here as well.
    requirement.onNamingTime(m_model, 2, m_start + 12s);
    EXPECT_EQ(requirement.newestVersions().front().namedAt, m_start + 12s);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 18299ms), 0U);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 18300ms), 2U);
    // So does one that was received before the pause.
    requirement.onNamed(m_model, 3, false, m_start + 20s);
    requirement.onPaused(m_start + 20100ms, m_start + 23s);
    EXPECT_EQ(requirement.requiredVersion(m_model, m_start + 26299ms), 2U);
}

} // namespace oriolerill::routing
