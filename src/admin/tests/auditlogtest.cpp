#include "admin/auditlog.h"
#include "admin/tests/fakeobjectstore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <gtest/gtest.h>

namespace oriolerill::admin {

using namespace std::chrono_literals;

class AuditLogFixture : public testing::Test
{
protected:
    template<class Value>
    Value run(boost::asio::awaitable<Value> task)
    {
        boost::asio::io_context context;
        auto result = boost::asio::co_spawn(context, std::move(task), boost::asio::use_future);
        context.run();
        return result.get();
    }
    void write(domain::WallTime at, const std::string &record)
    {
        EXPECT_TRUE(run(m_log.begin(at, record, m_deadline)));
    }
    void prune(domain::WallTime now) { run(m_log.prune(now, m_deadline)); }

    domain::WallTime m_now{std::chrono::hours(500000)};
    domain::TimePoint m_deadline = domain::TimePoint::clock::now() + 1h;
    FakeObjectStore m_store;
    AuditLog m_log{m_store, "entry-1-7"};
};

TEST_F(AuditLogFixture, list_severalHours_newestFirstWithinLimits)
{
    for (int age = 0; age < 4; ++age)
        write(m_now - std::chrono::hours(age), std::to_string(age));
    EXPECT_EQ(
            *run(m_log.list(m_now, 3, 10, m_deadline)), (std::vector<std::string>{"0", "1", "2"}));
    EXPECT_EQ(*run(m_log.list(m_now, 3, 2, m_deadline)), (std::vector<std::string>{"0", "1"}));
}

// Guards against expired records that are never removed, and against the removal of newer ones.
TEST_F(AuditLogFixture, prune_repeated_removesOnlyExpired)
{
    for (int i = 0; i < 10; ++i)
        write(m_now - 31 * 24h, "old");
    write(m_now - 29 * 24h, "kept");
    write(m_now, "new");
    prune(m_now);
    EXPECT_EQ(m_store.objects.size(), 12U) << "the first hours listed are empty";
    for (int i = 0; i < 40; ++i)
        prune(m_now);
    EXPECT_EQ(m_store.objects.size(), 2U);
}

// Guards against expired records that are skipped after a failed call of the store.
TEST_F(AuditLogFixture, prune_storeDownForATime_triesAgain)
{
    write(m_now - 31 * 24h, "old");
    const domain::Error outage = {domain::ErrorKind::Unavailable, "the store is down", "wait"};
    m_store.readError = outage;
    prune(m_now);
    m_store.readError.reset();
    m_store.writeErrors = {outage};
    for (int i = 0; i < 40; ++i)
        prune(m_now);
    EXPECT_TRUE(m_store.writeErrors.empty());
    EXPECT_TRUE(m_store.objects.empty());
}

} // namespace oriolerill::admin
