#include "objectstore/storedorderlog.h"
#include "objectstore/tests/fakeobjectstore.h"

#include <boost/asio/thread_pool.hpp>

#include <gtest/gtest.h>

#include <future>

namespace oriolerill::objectstore {

namespace asio = boost::asio;
using domain::ErrorKind;

class StoredOrderLogFixture : public testing::Test
{
protected:
    void TearDown() override
    {
        m_pool.stop();
        m_pool.join();
    }

    domain::Expected<domain::Done> append(std::uint64_t number, const std::string &writeId)
    {
        protocol::OrderBatch batch;
        batch.set_write_id(writeId);
        std::promise<domain::Expected<domain::Done>> promise;
        m_log.append(m_slot, number, batch, [&](auto result) { promise.set_value(result); });
        return promise.get_future().get();
    }

    asio::thread_pool m_pool{2};
    FakeObjectStore m_store;
    StoredOrderLog m_log{m_pool.get_executor(), m_store, {}};
    requests::LedgerSlot m_slot{domain::ServiceId("books"), 3};
};

// Guards against two writers that own one batch, or a writer fenced by its own batch, after a lost
// answer.
TEST_F(StoredOrderLogFixture, append_answerLost_readBackByWriteId)
{
    m_store.answersToLose = 1;
    EXPECT_TRUE(append(1, "mine"));
    EXPECT_EQ(append(1, "other").error().kind, ErrorKind::Fenced);
    m_store.isDown = true;
    EXPECT_EQ(append(2, "mine").error().kind, ErrorKind::Unavailable);
    m_store.isDown = false;
    EXPECT_TRUE(append(12, "mine"));
    std::promise<std::vector<std::uint64_t>> numbers;
    m_log.list(m_slot, [&](const auto &result) { numbers.set_value(*result); });
    EXPECT_EQ(numbers.get_future().get(), (std::vector<std::uint64_t>{1, 12}));
}

} // namespace oriolerill::objectstore
