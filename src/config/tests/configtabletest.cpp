#include "config/configtable.h"
#include "config/versiontext.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace oriolerill::config {

using domain::ConfigVersion;

namespace {

constexpr const char *LimitJson = R"({"maxConcurrency":8})";
constexpr const char *WithdrawalJson = R"({"reason":"power"})";

void addItem(protocol::ConfigDelta &delta, const std::string &kind, const std::string &name,
        ConfigVersion version, const std::string &json)
{
    protocol::ConfigItem *const item = delta.add_items();
    item->set_kind(kind);
    item->set_name(name);
    toProtocol(version, item->mutable_version());
    item->set_deleted(json.empty());
    item->set_json(json);
}

protocol::ConfigDelta deltaOf(ConfigVersion base, ConfigVersion watermark)
{
    protocol::ConfigDelta delta;
    toProtocol(base, delta.mutable_base());
    toProtocol(watermark, delta.mutable_watermark());
    return delta;
}

protocol::ConfigDelta listOf(ConfigVersion watermark)
{
    protocol::ConfigDelta delta = deltaOf({}, watermark);
    delta.set_complete(true);
    return delta;
}

std::string rolloutJson(const std::string &service)
{
    return R"({"service":")" + service + R"(","model":"quill","modelVersion":"1","manifest":")"
            + domain::Digest::of(std::string_view("weights")).hex() + R"("})";
}

std::map<std::string, ConfigVersion> limitsOf(const ConfigTable &table)
{
    std::map<std::string, ConfigVersion> limits;
    for (const auto &[service, limit] : table.buildSnapshot().limits)
        limits[service.value()] = limit.version;
    return limits;
}

/// A history of writes to a store, from which deltas and complete lists are made.
class WriteHistory
{
public:
    explicit WriteHistory(std::uint32_t seed)
        : m_random(seed)
    {
        for (std::uint64_t revision = 1; revision <= Writes; ++revision) {
            const bool isDeletion = m_random() % 4 == 0;
            m_names.push_back("s" + std::to_string(m_random() % 6));
            m_jsons.emplace_back(isDeletion ? "" : LimitJson);
        }
    }

    static constexpr std::uint64_t Writes = 40;

    /// A delta between two random revisions or, one time in four, a complete list, as a store or a
    /// peer may send them.
    protocol::ConfigDelta randomDelta()
    {
        const std::uint64_t to = 1 + m_random() % Writes;
        const std::uint64_t from = m_random() % to;
        return m_random() % 4 == 0 ? list(to) : changes(from, to);
    }
    protocol::ConfigDelta changes(std::uint64_t from, std::uint64_t to) const
    {
        protocol::ConfigDelta delta = deltaOf({1, from}, {1, to});
        for (std::uint64_t revision = from + 1; revision <= to; ++revision)
            add(delta, revision);
        return delta;
    }
    protocol::ConfigDelta list(std::uint64_t at) const
    {
        protocol::ConfigDelta delta = listOf({1, at});
        for (std::uint64_t revision = 1; revision <= at; ++revision) {
            const auto begin = m_names.begin() + static_cast<std::ptrdiff_t>(revision);
            const auto end = m_names.begin() + static_cast<std::ptrdiff_t>(at);
            const bool isLast = std::find(begin, end, m_names[revision - 1]) == end;
            if (isLast && !m_jsons[revision - 1].empty())
                add(delta, revision);
        }
        return delta;
    }

private:
    void add(protocol::ConfigDelta &delta, std::uint64_t revision) const
    {
        addItem(delta, "limit", m_names[revision - 1], {1, revision}, m_jsons[revision - 1]);
    }

    std::mt19937 m_random;
    std::vector<std::string> m_names;
    std::vector<std::string> m_jsons;
};

} // namespace

// Guards against a configuration that reverts or differs between nodes when deltas are reordered,
// duplicated or lost.
TEST(ConfigTable, merge_randomOrderDuplicationAndLoss_neverRevertsAndConverges)
{
    for (std::uint32_t seed = 0; seed < 300; ++seed) {
        WriteHistory history(seed);
        ConfigTable table;
        std::map<std::string, ConfigVersion> before;
        for (int i = 0; i < 30; ++i) {
            const ConfigVersion watermark = table.watermark();
            table.merge(history.randomDelta());
            ASSERT_GE(table.watermark(), watermark) << "seed " << seed;
            const auto after = limitsOf(table);
            for (const auto &[name, version] : after) {
                const auto found = before.find(name);
                ASSERT_TRUE(found == before.end() || found->second <= version) << "seed " << seed;
            }
            before = after;
        }
        ConfigTable reference;
        reference.merge(history.list(WriteHistory::Writes));
        table.merge(history.changes(table.watermark().revision, WriteHistory::Writes));
        ASSERT_EQ(limitsOf(table), limitsOf(reference)) << "seed " << seed;
        // A node that is behind converges with the help of a peer.
        ConfigTable behind;
        behind.merge(history.list(1 + seed % WriteHistory::Writes));
        behind.merge(table.deltaSince(behind.watermark(), {}));
        ASSERT_EQ(limitsOf(behind), limitsOf(reference)) << "seed " << seed;
    }
}

// Guards against a list from a lagging replica of the store that restores a deleted item.
TEST(ConfigTable, merge_staleListAfterDeletion_itemStaysDeleted)
{
    ConfigTable table;
    protocol::ConfigDelta old = listOf({1, 3});
    addItem(old, "withdrawal", "central-a", {1, 3}, WithdrawalJson);
    table.merge(old);
    table.merge(listOf({1, 5}));
    EXPECT_TRUE(table.buildSnapshot().withdrawals.empty());
    EXPECT_FALSE(table.merge(old).hasChanged);
    EXPECT_TRUE(table.buildSnapshot().withdrawals.empty());
    EXPECT_EQ(table.watermark(), (ConfigVersion{1, 5}));
}

// Guards against a stale list that deletes items which are newer than the list.
TEST(ConfigTable, merge_staleListWithoutNewItem_itemStays)
{
    ConfigTable table;
    protocol::ConfigDelta update = listOf({1, 5});
    addItem(update, "withdrawal", "central-a", {1, 5}, WithdrawalJson);
    table.merge(update);
    table.merge(listOf({1, 4}));
    EXPECT_TRUE(table.buildSnapshot().isWithdrawn(domain::DataCentreId("central-a")));
}

// Guards against advancing the watermark past a gap in the pushed deltas.
TEST(ConfigTable, merge_deltaWithGap_itemInForceAndWatermarkUnchanged)
{
    ConfigTable table;
    table.merge(listOf({1, 2}));
    protocol::ConfigDelta later = deltaOf({1, 4}, {1, 5});
    addItem(later, "withdrawal", "central-a", {1, 5}, WithdrawalJson);
    EXPECT_FALSE(table.merge(later).isContiguous);
    EXPECT_EQ(table.watermark(), (ConfigVersion{1, 2}));
    EXPECT_TRUE(table.buildSnapshot().isWithdrawn(domain::DataCentreId("central-a")));
}

// Guards against ignoring the revisions of a replaced store, which start again at 1.
TEST(ConfigTable, merge_newStoreEpoch_lowerRevisionWins)
{
    ConfigTable table;
    protocol::ConfigDelta old = listOf({1, 90});
    addItem(old, "limit", "books", {1, 90}, LimitJson);
    table.merge(old);
    protocol::ConfigDelta next = listOf({2, 1});
    addItem(next, "limit", "books", {2, 1}, R"({"maxConcurrency":3})");
    table.merge(next);
    EXPECT_EQ(table.buildSnapshot().limits.at(domain::ServiceId("books")).maxConcurrency, 3U);
    EXPECT_EQ(table.watermark(), (ConfigVersion{2, 1}));
    table.merge(old);
    EXPECT_EQ(table.buildSnapshot().limits.at(domain::ServiceId("books")).maxConcurrency, 3U);
}

// Guards against an entry that restarts while the platform is down and whose empty table makes
// other entries delete their items.
TEST(ConfigTable, deltaSince_emptyTable_changesNothingAtReceiver)
{
    ConfigTable full;
    protocol::ConfigDelta list = listOf({1, 3});
    addItem(list, "withdrawal", "central-a", {1, 3}, WithdrawalJson);
    full.merge(list);
    const ConfigTable restarted;
    EXPECT_FALSE(full.merge(restarted.deltaSince(full.watermark(), {})).hasChanged);
    EXPECT_FALSE(full.merge(restarted.deltaSince({}, {})).hasChanged);
}

// Guards against agents that keep a rollout which has moved to another service, and against
// sending agents the items of other services and data centres.
TEST(ConfigTable, deltaSince_agentFilter_onlyOwnItemsAndRemovals)
{
    ConfigTable entry;
    protocol::ConfigDelta list = listOf({1, 4});
    addItem(list, "rollout", "quill", {1, 1}, rolloutJson("drafting"));
    addItem(list, "limit", "books", {1, 2}, LimitJson);
    addItem(list, "withdrawal", "west-a", {1, 3}, WithdrawalJson);
    entry.merge(list);
    const DeltaFilter filter{domain::ServiceId("drafting"), domain::DataCentreId("central-a")};
    ConfigTable agent;
    agent.merge(entry.deltaSince({}, filter));
    EXPECT_EQ(agent.size(), 1U);
    protocol::ConfigDelta move = deltaOf({1, 4}, {1, 5});
    addItem(move, "rollout", "quill", {1, 5}, rolloutJson("proofs"));
    entry.merge(move);
    const protocol::ConfigDelta update = entry.deltaSince(agent.watermark(), filter);
    EXPECT_TRUE(update.items(0).json().empty());
    agent.merge(update);
    EXPECT_TRUE(agent.buildSnapshot().rollouts.empty());
    EXPECT_EQ(agent.watermark(), (ConfigVersion{1, 5}));
}

// Guards against an invalid stored item that disables the last valid version.
TEST(ConfigTable, merge_invalidItem_lastValidContentStays)
{
    ConfigTable table;
    protocol::ConfigDelta list = listOf({1, 1});
    addItem(list, "limit", "books", {1, 1}, LimitJson);
    table.merge(list);
    protocol::ConfigDelta bad = deltaOf({1, 1}, {1, 2});
    addItem(bad, "limit", "books", {1, 2}, R"({"maxConcurrency":"many"})");
    EXPECT_EQ(table.merge(bad).invalid.size(), 1U);
    EXPECT_EQ(table.buildSnapshot().limits.at(domain::ServiceId("books")).maxConcurrency, 8U);
}

// Guards against a stored item that crashes the process or hides other items: its JSON is nested
// too deeply for the stack or has a number beyond the range of integers.
TEST(ConfigTable, merge_deeplyNestedItemOrHugeNumber_othersInForce)
{
    constexpr std::size_t Levels = 1'000'000;
    const std::string nested = std::string(Levels, '[') + std::string(Levels, ']');
    for (const std::string &invalidJson : {R"({"maxConcurrency":)" + nested + "}", nested,
                 std::string(R"({"maxConcurrency":1e300})"),
                 std::string(R"({"maxConcurrency":1e999})"),
                 std::string(R"({"maxConcurrency":18446744073709551615})"),
                 std::string("{\"maxConcurrency\":\"\xff\"}")}) {
        ConfigTable table;
        protocol::ConfigDelta delta = listOf({1, 3});
        addItem(delta, "limit", "a", {1, 1}, LimitJson);
        addItem(delta, "limit", "odd", {1, 2}, invalidJson);
        addItem(delta, "limit", "z", {1, 3}, LimitJson);
        table.merge(delta);
        const auto limits = limitsOf(table);
        EXPECT_EQ(limits.size(), 2U) << invalidJson.substr(0, 60);
        EXPECT_EQ(limits.count("odd"), 0U) << invalidJson.substr(0, 60);
    }
}

// Guards against changes that are never delivered because they do not fit into one message.
TEST(ConfigTable, deltaSince_manyChanges_arriveInParts)
{
    ConfigTable ahead;
    ConfigTable behind;
    ahead.merge(listOf({1, 1}));
    behind.merge(listOf({1, 1}));
    protocol::ConfigDelta changes = deltaOf({1, 1}, {1, 9000});
    for (std::uint64_t i = 2; i <= 9000; ++i) {
        addItem(changes, "withdrawal", "dc-" + std::to_string(i), {1, i},
                R"({"reason":")" + std::string(100, 'x') + R"("})");
    }
    ahead.merge(changes);
    int parts = 0;
    while (behind.watermark() < ahead.watermark() && parts < 10) {
        const protocol::ConfigDelta part = ahead.deltaSince(behind.watermark(), {});
        EXPECT_LT(part.ByteSizeLong(), 1U << 20U);
        behind.merge(part);
        ++parts;
    }
    EXPECT_GT(parts, 1);
    EXPECT_EQ(behind.buildSnapshot().withdrawals.size(), 8999U);
}

} // namespace oriolerill::config
