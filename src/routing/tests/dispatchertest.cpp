#include "routing/dispatcher.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace oriolerill::routing {

using namespace std::chrono_literals;
using domain::DataCentreId;
using domain::EndpointId;
using domain::ModelId;
using domain::RegionId;
using domain::ServiceId;
using domain::TimePoint;

namespace {

constexpr std::uint32_t Slots = 16;

ServiceSpec engineService()
{
    ServiceSpec service;
    service.id = ServiceId("models");
    service.coldPerSecond = 36;
    service.models = {ModelId("m")};
    service.engine = EngineSpeed{Slots, 6.73, 0.0219, 30.6, 964, 119};
    return service;
}

Route streamRoute()
{
    Route route;
    route.name = "quotes";
    route.host = "h.example";
    route.pathPrefix = "/q/";
    route.kind = RequestKind::Stream;
    route.isResumable = true;
    route.services = {{ServiceId("models"), 1}};
    route.objective = 400ms;
    route.timeout = 6s;
    route.maxEndpoints = 2;
    return route;
}

ListedEndpoint endpoint(int number, const std::string &dataCentre = "a")
{
    ListedEndpoint endpoint;
    endpoint.id = EndpointId("e" + std::to_string(number));
    endpoint.service = ServiceId("models");
    endpoint.address = {"10.0.0." + std::to_string(number + 1), 80};
    endpoint.dataCentre = DataCentreId(dataCentre);
    endpoint.slots = Slots;
    endpoint.weights[ModelId("m")] = 1;
    return endpoint;
}

} // namespace

class DispatcherFixture : public testing::Test
{
protected:
    DispatcherFixture()
    {
        m_request.model = ModelId("m");
        m_request.promptTokens = 900;
        m_query.route = &m_route;
        m_query.request = &m_request;
        m_query.service = ServiceId("models");
    }

    DispatcherOptions options(std::uint64_t seed) const
    {
        DispatcherOptions options;
        options.dataCentre = DataCentreId("a");
        options.regions
                = {{DataCentreId("a"), RegionId("north")}, {DataCentreId("b"), RegionId("south")}};
        options.assumedEntries = 8;
        options.seed = seed;
        return options;
    }

    void prepare(Dispatcher &dispatcher, int count)
    {
        dispatcher.setConfig(std::make_shared<ServingConfig>(
                1, std::vector{m_route}, std::vector{engineService()}, CallerLimits()));
        std::vector<ListedEndpoint> listed;
        listed.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            listed.push_back(endpoint(i));
        dispatcher.endpoints().replaceAll(listed, m_now);
    }

    void report(Dispatcher &dispatcher, int number, std::uint32_t running,
            std::uint64_t version = 1, bool isSwitching = false)
    {
        EngineReport engineReport;
        engineReport.sequence = ++m_sequence;
        engineReport.running = running;
        engineReport.weightsVersion = version;
        engineReport.isSwitching = isSwitching;
        dispatcher.onReport(endpoint(number).address, 0, engineReport, m_now);
    }

    /// Name of the chosen endpoint; empty when refused.
    std::string chosen(Dispatcher &dispatcher)
    {
        const DispatchDecision decision = dispatcher.choose(m_query, m_now);
        const auto *dispatch = std::get_if<Dispatch>(&decision);
        if (dispatch == nullptr)
            return "";
        dispatcher.onSent(*dispatch, m_now);
        return dispatch->endpoint.value();
    }

    TimePoint m_now{1h};
    Route m_route = streamRoute();
    CallerRequest m_request;
    DispatchQuery m_query;
    std::uint64_t m_sequence = 0;
};

// Regression: an engine whose reports had stopped counted as idle, and all entries sent their
// requests into the saturated link of its VM (push-twice --vary --seed 439813121140: GONE).
TEST_F(DispatcherFixture, choose_reportsStopped_oneRequestAtATimeUntilItAnswers)
{
    Dispatcher dispatcher(options(3));
    prepare(dispatcher, 2);
    report(dispatcher, 0, 12);
    report(dispatcher, 1, 12);
    m_now += 1100ms;
    report(dispatcher, 1, 9);
    int probes = 0;
    for (int i = 0; i < 5; ++i) {
        const std::string name = chosen(dispatcher);
        ASSERT_NE(name, "");
        probes += name == endpoint(0).id.value() ? 1 : 0;
    }
    EXPECT_LE(probes, 1);
    // A repeated request does not go there.
    dispatcher.load(endpoint(0).id).onEnded();
    m_query.excluded.insert(EndpointId("other"));
    EXPECT_EQ(chosen(dispatcher), endpoint(1).id.value());
    dispatcher.load(endpoint(0).id).onAnswerBegun(m_now);
    EXPECT_EQ(chosen(dispatcher), endpoint(0).id.value());
    // Without any other endpoint it is used as before.
    m_now += 1100ms;
    m_query.excluded.insert(endpoint(1).id);
    EXPECT_EQ(chosen(dispatcher), endpoint(0).id.value());
}

// Guards against sending a repeated request to an endpoint that has just failed to answer another
// request: the answer is too late for the caller.
TEST_F(DispatcherFixture, choose_repeatedRequest_endpointWithoutAnswerExcluded)
{
    Dispatcher dispatcher(options(3));
    prepare(dispatcher, 2);
    dispatcher.load(endpoint(0).id).onFailure(m_now);
    m_now += 300ms;
    report(dispatcher, 0, 0);
    // The expected wait at this endpoint costs more than the failure of the other one.
    report(dispatcher, 1, 16);
    m_query.excluded.insert(EndpointId("other"));
    EXPECT_EQ(chosen(dispatcher), endpoint(1).id.value());
    dispatcher.load(endpoint(0).id).onSuccess();
    EXPECT_EQ(chosen(dispatcher), endpoint(0).id.value());
}

// Guards against one Retry-After for all refused callers, of which all but one are then refused
// again: each caller that returns at its own time is served.
TEST_F(DispatcherFixture, choose_allEndpointsAtTheirLimits_eachCallerGetsOwnSlot)
{
    Dispatcher dispatcher(options(3));
    prepare(dispatcher, 2);
    dispatcher.setShare({1, 0});
    dispatcher.limits().onAnswer({endpoint(0).id, 0}, 1.0, m_now, m_now);
    dispatcher.limits().onAnswer({endpoint(1).id, 0}, 0.7, m_now, m_now);
    while (!chosen(dispatcher).empty()) {
    }
    std::vector<TimePoint> retryTimes;
    for (int caller = 0; caller < 6; ++caller) {
        const auto decision = dispatcher.choose(m_query, m_now);
        const auto *refusal = std::get_if<Refusal>(&decision);
        ASSERT_NE(refusal, nullptr);
        EXPECT_EQ(refusal->reason, RefusalReason::Limited);
        retryTimes.push_back(m_now + refusal->retryAfter);
    }
    std::sort(retryTimes.begin(), retryTimes.end());
    for (const TimePoint &time : retryTimes) {
        m_now = time;
        EXPECT_NE(chosen(dispatcher), "");
    }
}

// Guards against entries that all choose the endpoint which they see as free until the next report.
TEST_F(DispatcherFixture, choose_burstAtTwoEntriesBetweenReports_noEndpointOverloaded)
{
    constexpr int Endpoints = 6;
    Dispatcher first(options(1));
    Dispatcher second(options(2));
    std::map<std::string, int> sent;
    for (Dispatcher *dispatcher : {&first, &second}) {
        prepare(*dispatcher, Endpoints);
        for (int i = 0; i < Endpoints; ++i)
            report(*dispatcher, i, 8);
    }
    // 48 slots are free; a burst of 36 arrives at two entries before the next report.
    for (int i = 0; i < 18; ++i) {
        ++sent[chosen(first)];
        ++sent[chosen(second)];
    }
    EXPECT_EQ(sent.count(""), 0U);
    for (const auto &[name, count] : sent)
        EXPECT_LE(count, 8 + 2) << name;
}

// Guards against queueing a request that would start after its objective: it is refused at once,
// with a Retry-After.
TEST_F(DispatcherFixture, choose_allEnginesOverloaded_refusedWithRetryAfter)
{
    Dispatcher dispatcher(options(1));
    prepare(dispatcher, 3);
    for (int i = 0; i < 3; ++i)
        report(dispatcher, i, Slots + 12);
    const DispatchDecision decision = dispatcher.choose(m_query, m_now);
    const auto *refusal = std::get_if<Refusal>(&decision);
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->reason, RefusalReason::Full);
    EXPECT_EQ(refusal->listed, 3U);
    EXPECT_GE(refusal->retryAfter, 150ms);
    EXPECT_LE(refusal->retryAfter, 1500ms);
}

// Guards against a refusal that does not distinguish engines without the required version from
// engines that are excluded for another reason.
TEST_F(DispatcherFixture, choose_noEngineHasRequiredVersion_refusalCountsOutdatedEngines)
{
    Dispatcher dispatcher(options(1));
    prepare(dispatcher, 3);
    for (int i = 0; i < 3; ++i)
        report(dispatcher, i, 0);
    dispatcher.weights().onNamed(ModelId("m"), 2, false, m_now);
    m_now += 10s;
    m_query.excluded.insert(endpoint(0).id);
    const DispatchDecision decision = dispatcher.choose(m_query, m_now);
    const auto *refusal = std::get_if<Refusal>(&decision);
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->reason, RefusalReason::NoEndpoint);
    EXPECT_EQ(refusal->listed, 3U);
    EXPECT_EQ(refusal->outdated, 2U);
    EXPECT_EQ(refusal->requiredWeights, 2U);
}

// Guards against refused callers that all return at the same moment.
TEST_F(DispatcherFixture, refuse_manyAtOnce_retryAfterSpread)
{
    Dispatcher dispatcher(options(1));
    prepare(dispatcher, 1);
    report(dispatcher, 0, Slots + 12);
    std::set<domain::Duration> times;
    for (int i = 0; i < 20; ++i) {
        const DispatchDecision decision = dispatcher.choose(m_query, m_now);
        times.insert(std::get<Refusal>(decision).retryAfter);
    }
    EXPECT_GE(times.size(), 15U);
    EXPECT_GE(*times.rbegin() - *times.begin(), 100ms);
}

// Guards against refusals by the one of many entries that receives a burst, while the engines have
// free slots: with 42 entries a grant is a fraction of a request for each.
TEST_F(DispatcherFixture, choose_burstAtOneOfManyEntries_freeSlotsUsedBeyondGrants)
{
    Dispatcher dispatcher(options(1));
    prepare(dispatcher, 10);
    for (int i = 0; i < 10; ++i) {
        EngineReport engineReport;
        engineReport.sequence = 1;
        engineReport.running = 9;
        engineReport.weightsVersion = 1;
        engineReport.entries = 42;
        dispatcher.onReport(endpoint(i).address, 0, engineReport, m_now);
    }
    for (int i = 0; i < 10; ++i)
        EXPECT_NE(chosen(dispatcher), "") << i;
}

// Guards against requests to an engine that is about to load weights, where they wait for seconds.
TEST_F(DispatcherFixture, choose_weightsSwitchPending_endpointExcluded)
{
    Dispatcher dispatcher(options(1));
    prepare(dispatcher, 3);
    report(dispatcher, 0, 0, 1, true);
    report(dispatcher, 1, 4);
    report(dispatcher, 2, 4);
    for (int i = 0; i < 10; ++i)
        EXPECT_NE(chosen(dispatcher), "e0");
}

// Guards against requests that begin on an older version after the operator's bound.
TEST_F(DispatcherFixture, choose_versionRequired_olderEnginesExcluded)
{
    Dispatcher dispatcher(options(1));
    prepare(dispatcher, 3);
    dispatcher.weights().onNamed(ModelId("m"), 2, false, m_now);
    m_now += 5s;
    report(dispatcher, 0, 0, 1);
    report(dispatcher, 1, 8, 2);
    report(dispatcher, 2, 0, 1);
    EXPECT_NE(chosen(dispatcher), "");
    m_now += 2s;
    report(dispatcher, 0, 0, 1);
    report(dispatcher, 1, 8, 2);
    report(dispatcher, 2, 0, 1);
    const DispatchDecision decision = dispatcher.choose(m_query, m_now);
    const auto *dispatch = std::get_if<Dispatch>(&decision);
    ASSERT_NE(dispatch, nullptr);
    EXPECT_EQ(dispatch->endpoint, EndpointId("e1"));
    EXPECT_EQ(dispatch->weightsVersion, 2U);
}

// Guards against a request at an engine of unknown version: it is not withdrawn before the bound of
// a version, because nothing shows that the engine is older. The engines list no weights, a model
// without its version, and report none.
TEST_F(DispatcherFixture, choose_engineOfUnknownVersion_notChosen)
{
    Dispatcher dispatcher(options(1));
    prepare(dispatcher, 3);
    std::vector<ListedEndpoint> listed{endpoint(0), endpoint(1), endpoint(2)};
    listed[0].weights.clear();
    listed[1].weights[ModelId("m")] = 0;
    dispatcher.endpoints().replaceAll(listed, m_now);
    report(dispatcher, 2, 0, 0);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(chosen(dispatcher), "");
    report(dispatcher, 1, 0, 1);
    EXPECT_EQ(chosen(dispatcher), "e1");
}

// Guards against entries that start at the same time and each send a cold endpoint their first
// request in the same second, before agents have counted them (hunt-392a-7 on
// txsatchel-orders-grown: the bound there is 30.5, and 42 entries start again).
TEST_F(DispatcherFixture, choose_manyEntriesJustStarted_coldBoundKeptInAnySecond)
{
    constexpr int Entries = 42;
    constexpr double ColdPerSecond = 17;
    ServiceSpec service = engineService();
    service.coldPerSecond = ColdPerSecond;
    std::vector<std::unique_ptr<Dispatcher>> entries;
    for (int i = 0; i < Entries; ++i) {
        DispatcherOptions started;
        started.seed = std::hash<std::string>{}("edge-central-a-" + std::to_string(i));
        entries.push_back(std::make_unique<Dispatcher>(started));
        entries.back()->setConfig(std::make_shared<ServingConfig>(
                1, std::vector{m_route}, std::vector{service}, CallerLimits()));
        ListedEndpoint cold = endpoint(0);
        cold.coldUntil = m_now + 1h;
        entries.back()->endpoints().replaceAll({cold}, m_now);
    }
    std::deque<TimePoint> sent;
    for (int step = 0; step < 300; ++step) {
        m_now += 10ms;
        for (const auto &entry : entries) {
            report(*entry, 0, 0);
            if (!chosen(*entry).empty())
                sent.push_back(m_now);
        }
        while (!sent.empty() && sent.front() + 1s <= m_now)
            sent.pop_front();
        ASSERT_LE(static_cast<double>(sent.size()), ColdPerSecond * 1.5 + 5) << step;
    }
}

// Guards against overload of a cold endpoint whose free slots all entries see at once. The
// operator's bound is 36 x 1.5 + 5 = 59 requests in any second over all entries.
TEST_F(DispatcherFixture, choose_coldReturnAtEightEntries_boundKeptInAnySecond)
{
    constexpr int Entries = 8;
    std::vector<std::unique_ptr<Dispatcher>> entries;
    for (int i = 0; i < Entries; ++i) {
        entries.push_back(std::make_unique<Dispatcher>(options(i + 1)));
        prepare(*entries.back(), 0);
        entries.back()->setShare({Entries, 0});
        ListedEndpoint cold = endpoint(0);
        cold.coldUntil = m_now + 1h;
        entries.back()->endpoints().replaceAll({cold}, m_now);
    }
    std::deque<TimePoint> sent;
    std::size_t maxCount = 0;
    for (int step = 0; step < 400; ++step) {
        m_now += 10ms;
        for (const auto &entry : entries) {
            report(*entry, 0, 0);
            if (!chosen(*entry).empty())
                sent.push_back(m_now);
        }
        while (!sent.empty() && sent.front() + 1s <= m_now)
            sent.pop_front();
        maxCount = std::max(maxCount, sent.size());
    }
    EXPECT_LE(maxCount, 59U);
    // With less than a tenth of the bound the endpoint would be of little use.
    EXPECT_GE(maxCount, 6U);
}

// Guards against requests that all pass the check of the cold bound while the connections of
// earlier requests are still being opened: they are sent in the same second.
TEST_F(DispatcherFixture, choose_connectionsToColdEndpointStillOpening_boundKept)
{
    Dispatcher entry(options(1));
    prepare(entry, 0);
    entry.setShare({8, 0});
    ListedEndpoint cold = endpoint(0);
    cold.coldUntil = m_now + 1h;
    entry.endpoints().replaceAll({cold}, m_now);
    std::vector<Dispatch> opening;
    for (int i = 0; i < 60; ++i) {
        const DispatchDecision decision = entry.choose(m_query, m_now);
        if (const auto *dispatch = std::get_if<Dispatch>(&decision))
            opening.push_back(*dispatch);
    }
    for (const Dispatch &dispatch : opening)
        entry.onSent(dispatch, m_now + 50ms);
    // This entry's eighth of 36 x 1.5 + 5.
    EXPECT_LE(opening.size(), 7U);
}

// Guards against entries that together exceed the operator's bound on retries in a window: 0.2 of
// the requests and 104 more in any ten seconds.
TEST_F(DispatcherFixture, tryRetry_allRequestsFailAtEightEntries_boundKeptInAnyWindow)
{
    constexpr int Entries = 8;
    std::vector<std::unique_ptr<Dispatcher>> entries;
    for (int i = 0; i < Entries; ++i) {
        DispatcherOptions entryOptions = options(i + 1);
        entryOptions.retryExtra = 104;
        entries.push_back(std::make_unique<Dispatcher>(entryOptions));
        entries.back()->setShare({Entries, 0});
    }
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
    const ServiceId service("models");
    for (int step = 0; step < 4000; ++step) {
        m_now += 10ms;
        Dispatcher &entry = *entries[step % Entries];
        entry.onRequest(service, m_now);
        requests.push_back(m_now);
        if (entry.tryRetry(service, m_now))
            retries.push_back(m_now);
        for (std::deque<TimePoint> *times : {&requests, &retries}) {
            while (times->front() + 10s <= m_now && times->size() > 1)
                times->pop_front();
        }
        ASSERT_LE(retries.size(), 0.2 * requests.size() + 104);
    }
    EXPECT_GT(retries.size(), 100U);
}

// Guards against requests to a withdrawn data centre, a draining endpoint or a region that is not
// allowed.
TEST_F(DispatcherFixture, choose_withdrawnDrainingOrInOtherRegion_neverChosen)
{
    Dispatcher dispatcher(options(1));
    prepare(dispatcher, 0);
    ListedEndpoint draining = endpoint(0);
    draining.isDraining = true;
    dispatcher.endpoints().replaceAll({draining, endpoint(1, "b"), endpoint(2)}, m_now);
    dispatcher.setWithdrawn({DataCentreId("a")});
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(chosen(dispatcher), "e1");
    dispatcher.setWithdrawn({});
    m_route.allowedRegions = {RegionId("north")};
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(chosen(dispatcher), "e2");
}

// Guards against entries of a withdrawn data centre without agents, see workingsettest.
TEST_F(DispatcherFixture, workingSet_localDataCentreWithdrawn_keepsLocalAgents)
{
    Dispatcher dispatcher(options(1));
    prepare(dispatcher, 0);
    dispatcher.endpoints().replaceAll({endpoint(0), endpoint(1, "b")}, m_now);
    const auto agents
            = [&] { return dispatcher.workingSet(domain::ServiceId("models"))->countingEngines(); };
    const std::vector<domain::EndpointId> before = agents();
    dispatcher.setWithdrawn({DataCentreId("a")});
    EXPECT_EQ(agents(), before);
}

// Guards against replacing a configuration by an older one, for example after a stale read.
TEST_F(DispatcherFixture, setConfig_olderVersion_refused)
{
    Dispatcher dispatcher(options(1));
    const auto config = [](std::uint64_t version) {
        return std::make_shared<ServingConfig>(
                version, std::vector<Route>(), std::vector<ServiceSpec>(), CallerLimits());
    };
    EXPECT_TRUE(dispatcher.setConfig(config(7)));
    EXPECT_FALSE(dispatcher.setConfig(config(5)));
    EXPECT_FALSE(dispatcher.setConfig(config(7)));
    EXPECT_EQ(dispatcher.config()->version(), 7U);
}

// Guards against continuing a stream with other weights than those of its first part.
TEST_F(DispatcherFixture, choose_pinnedWeights_onlyThatVersion)
{
    Dispatcher dispatcher(options(1));
    prepare(dispatcher, 2);
    report(dispatcher, 0, 0, 2);
    report(dispatcher, 1, 8, 1);
    m_query.pinnedWeights = 1;
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(chosen(dispatcher), "e1");
}

// Guards against a process that acts on expired state after a suspension of some seconds. The
// steady clock does not include that time, so a version that was required by then was not required
// here, and reports that were seconds old counted as fresh.
TEST_F(DispatcherFixture, onSuspended_versionNamedBefore_requiredAtOnceAndReportsStale)
{
    Dispatcher dispatcher(options(1));
    prepare(dispatcher, 2);
    report(dispatcher, 0, 2, 1);
    report(dispatcher, 1, 2, 2);
    dispatcher.weights().onNamed(ModelId("m"), 2, false, m_now);
    EXPECT_TRUE(dispatcher.load(EndpointId("e0")).hasFreshReport(m_now));
    dispatcher.onSuspended(7s);
    EXPECT_FALSE(dispatcher.load(EndpointId("e0")).hasFreshReport(m_now));
    EXPECT_EQ(dispatcher.weights().requiredVersion(ModelId("m"), m_now), 2U);
}

// Regression: requests were sent to queues in which they could only begin after the version bound,
// and had to be withdrawn there.
TEST_F(DispatcherFixture, choose_queueLongerThanTimeBeforeVersionBound_notSent)
{
    Dispatcher dispatcher(options(1));
    prepare(dispatcher, 1);
    m_request.promptTokens = 15000;
    dispatcher.weights().onNamed(ModelId("m"), 2, false, m_now);
    m_now += 5s;
    report(dispatcher, 0, 0);
    // The prompt takes 0.5 s; 2.5 s are left until the withdrawal.
    EXPECT_EQ(chosen(dispatcher), "e0");
    m_now += 1100ms;
    report(dispatcher, 0, 0);
    const DispatchDecision decision = dispatcher.choose(m_query, m_now);
    const auto *refusal = std::get_if<Refusal>(&decision);
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->tooLate, 1U);
    EXPECT_EQ(refusal->outdated, 0U);
    // An engine with the new version gets the request.
    report(dispatcher, 0, 0, 2);
    EXPECT_EQ(chosen(dispatcher), "e0");
}

// Regression: a request was sent to another data centre over a link that had held the requests
// before it for a second, and began there after the version bound.
TEST_F(DispatcherFixture, choose_requestsToOtherDataCentreUnanswered_notSentBeforeVersionBound)
{
    Dispatcher dispatcher(options(1));
    prepare(dispatcher, 0);
    dispatcher.endpoints().replaceAll({endpoint(0, "b"), endpoint(1, "b")}, m_now);
    dispatcher.weights().onNamed(ModelId("m"), 2, false, m_now);
    m_now += 3400ms;
    const DispatchDecision first = dispatcher.choose(m_query, m_now);
    ASSERT_TRUE(std::holds_alternative<Dispatch>(first));
    const auto &dispatch = std::get<Dispatch>(first);
    dispatcher.onSent(dispatch, m_now);
    const TimePoint sentAt = m_now;
    m_now += 1s;
    EXPECT_EQ(chosen(dispatcher), "");
    dispatcher.onAnswerBegun(dispatch, sentAt, m_now);
    dispatcher.onEnded(dispatch, sentAt, m_now);
    EXPECT_NE(chosen(dispatcher), "");
}

// Regression: engines that run requests whose connection is closed began them after the version
// bound.
TEST_F(DispatcherFixture, choose_newerVersionNamed_timeGivenToEngineEndsBeforeBound)
{
    Dispatcher dispatcher(options(1));
    prepare(dispatcher, 1);
    report(dispatcher, 0, 0);
    m_request.maxAnswerTokens = 119;
    const auto stopAt = [&] {
        const DispatchDecision decision = dispatcher.choose(m_query, m_now);
        return std::get<Dispatch>(decision).stopAt;
    };
    EXPECT_EQ(stopAt(), std::nullopt);
    const TimePoint boundAt = m_now + WeightsRequirementOptions().bound;
    dispatcher.weights().onNamed(ModelId("m"), 2, false, m_now);
    ASSERT_TRUE(stopAt());
    EXPECT_LT(*stopAt(), boundAt);
    // An answer takes 1.4 s at most. One that may last until the bound must not be cut.
    m_now = boundAt - 2500ms;
    report(dispatcher, 0, 0);
    EXPECT_EQ(stopAt(), std::nullopt);
    report(dispatcher, 0, 0, 2);
    EXPECT_EQ(stopAt(), std::nullopt);
}

// Guards against engines that serve a patient request before an urgent one, and against an urgency
// where all requests are equal.
TEST_F(DispatcherFixture, choose_routesOfUnequalPriority_urgencyByRank)
{
    Dispatcher dispatcher(options(1));
    prepare(dispatcher, 1);
    EXPECT_FALSE(std::get<Dispatch>(dispatcher.choose(m_query, m_now)).urgency);
    Route urgent = m_route;
    urgent.pathPrefix = "/u/";
    m_route.priority = 3;
    dispatcher.setConfig(std::make_shared<ServingConfig>(
            2, std::vector{m_route, urgent}, std::vector{engineService()}, CallerLimits()));
    EXPECT_EQ(std::get<Dispatch>(dispatcher.choose(m_query, m_now)).urgency, 1U);
    m_query.route = &urgent;
    EXPECT_EQ(std::get<Dispatch>(dispatcher.choose(m_query, m_now)).urgency, 0U);
}

} // namespace oriolerill::routing
