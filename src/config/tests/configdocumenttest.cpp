#include "config/configdocument.h"
#include "config/applicationplan.h"
#include "config/fanout.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace oriolerill::config {

namespace {

constexpr const char *Document = R"({"items":[
    {"kind":"service","name":"books","spec":{"kind":"plain","nonIdempotentCalls":
        [{"method":"POST","pathPrefix":"/orders"}]}},
    {"kind":"limit","name":"books","spec":{"maxConcurrency":4,"startConcurrency":2}}]})";

bool hasProblemAt(const DocumentResult &result, const std::string &path)
{
    return std::any_of(result.problems.begin(), result.problems.end(), [&](const Problem &problem) {
        return problem.path == path && !problem.remedy.empty();
    });
}

} // namespace

// Guards against a valid document that is rejected or loses items.
TEST(ConfigDocument, parseDocument_validDocument_allItemsAccepted)
{
    const DocumentResult result = parseDocument(Document, ConfigSnapshot());
    EXPECT_TRUE(result.isValid());
    EXPECT_EQ(result.document.items.size(), 2U);
}

// Guards against reporting only the first error, so that an operator finds them one at a time.
TEST(ConfigDocument, parseDocument_manyErrors_allReportedWithPathAndRemedy)
{
    const DocumentResult result = parseDocument(R"({"items":[
        {"kind":"limit","name":"books","spec":{"maxConcurrency":0,"startConcurency":1}},
        {"kind":"rollout","name":"Quill","version":"seven","spec":{"service":"drafts"}},
        {"kind":"limit","name":"books","delete":true},
        {"kind":"colour","name":"x","spec":{}},
        {"kind":"account","name":"y"}]})",
            ConfigSnapshot());
    EXPECT_TRUE(hasProblemAt(result, "items[0].spec.maxConcurrency"));
    EXPECT_TRUE(hasProblemAt(result, "items[0].spec.startConcurency"));
    EXPECT_TRUE(hasProblemAt(result, "items[1].version"));
    EXPECT_TRUE(hasProblemAt(result, "items[1].spec"));
    EXPECT_TRUE(hasProblemAt(result, "items[1].spec.manifest"));
    EXPECT_TRUE(hasProblemAt(result, "items[2].name"));
    EXPECT_TRUE(hasProblemAt(result, "items[3].spec"));
    EXPECT_TRUE(hasProblemAt(result, "items[4].spec"));
}

// Guards against an item for a service that does not exist, which would never take effect.
TEST(ConfigDocument, parseDocument_unknownService_reported)
{
    const DocumentResult result = parseDocument(
            R"({"items":[{"kind":"limit","name":"books","spec":{}}]})", ConfigSnapshot());
    EXPECT_TRUE(hasProblemAt(result, "items[0].spec"));
}

// Guards against a second write when a document is applied again.
TEST(ApplicationPlan, planApplication_equalItems_skipped)
{
    const ConfigDocument document = parseDocument(Document).document;
    const std::vector<ConfigItem> stored{
            {{"limit", "books"}, {1, 4}, false, R"({ "startConcurrency":2, "maxConcurrency":4 })"}};
    const ApplicationPlan plan = planApplication(document, stored);
    ASSERT_EQ(plan.steps.size(), 2U);
    EXPECT_EQ(plan.steps[0].action, ApplicationAction::Create);
    EXPECT_EQ(plan.steps[1].action, ApplicationAction::Skip);
}

// Guards against overwriting a concurrent change that the operator has not read.
TEST(ApplicationPlan, planApplication_otherVersion_conflictNamesVersionToRead)
{
    const ConfigDocument document = parseDocument(
            R"({"items":[{"kind":"limit","name":"books","version":"1.3","spec":{}}]})")
                                            .document;
    const std::vector<ConfigItem> stored{
            {{"limit", "books"}, {1, 4}, false, R"({"maxConcurrency":4})"}};
    const ApplicationPlan plan = planApplication(document, stored);
    EXPECT_TRUE(plan.steps.empty());
    ASSERT_EQ(plan.conflicts.size(), 1U);
    EXPECT_NE(plan.conflicts[0].remedy().find("1.4"), std::string::npos);
}

// Guards against entries that a push does not reach or reaches twice.
TEST(FanOut, splitFanOut_36Targets_eachReachedOnceInFewHops)
{
    struct Pending
    {
        std::vector<std::string> targets;
        int hops;
    };
    std::vector<Pending> pending{{{}, 1}};
    for (int i = 0; i < 36; ++i)
        pending.front().targets.push_back(std::to_string(i));
    std::set<std::string> reached;
    while (!pending.empty()) {
        const Pending next = pending.back();
        pending.pop_back();
        EXPECT_LE(next.hops, 5);
        const std::vector<FanOutBranch> branches = splitFanOut(next.targets);
        EXPECT_LE(branches.size(), FanOutArity);
        for (const FanOutBranch &branch : branches) {
            EXPECT_TRUE(reached.insert(branch.receiver).second);
            pending.push_back({branch.forwardTo, next.hops + 1});
        }
    }
    EXPECT_EQ(reached.size(), 36U);
}

} // namespace oriolerill::config
