#include "relay/internal/configurationexchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using domain::Expected;
using objectstore::ObjectList;

/// An entry that has read a configuration, and one that asks for it.
class ConfigurationExchangeFixture : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto started
                = m_server.start({"127.0.0.1", 0}, [this](transport::HttpServerExchange &exchange) {
                      return ConfigurationExchange::answer(exchange, m_known);
                  });
        ASSERT_TRUE(started);
        m_address = *started;
    }

    Expected<ObjectList> fetch()
    {
        std::optional<Expected<ObjectList>> got;
        const auto ask = [&]() -> asio::awaitable<void> {
            auto list = co_await m_exchange.fetch(m_address, domain::TimePoint::clock::now() + 2s);
            got.emplace(std::move(list));
            m_context.stop();
        };
        asio::co_spawn(m_context, ask(), asio::detached);
        m_context.run_for(5s);
        m_context.restart();
        return std::move(*got);
    }

    asio::io_context m_context{1};
    transport::HttpServer m_server{m_context.get_executor(), {}};
    domain::SocketAddress m_address;
    ObjectList m_known;
    ConfigurationExchange m_exchange{m_context.get_executor()};
};

// Guards against a configuration that changes on its way between entries; this one is as large as
// the platform's store allows.
TEST_F(ConfigurationExchangeFixture, fetch_largeConfiguration_sameObjectAndRevisions)
{
    m_known.storeVersion = {0, 77};
    m_known.objects = {{"configuration/main", std::string(1U << 20U, 'c'), {0, 70}, false}};
    const Expected<ObjectList> got = fetch();
    ASSERT_TRUE(got.hasValue());
    EXPECT_EQ(got->storeVersion.revision, 77U);
    ASSERT_EQ(got->objects.size(), 1U);
    EXPECT_EQ(got->objects[0].key, "configuration/main");
    EXPECT_EQ(got->objects[0].value, m_known.objects[0].value);
    EXPECT_EQ(got->objects[0].version.revision, 70U);
}

// Guards against an entry without a configuration whose answer is taken for an empty one: all
// routes would be gone.
TEST_F(ConfigurationExchangeFixture, fetch_nothingKnownThere_errorNotEmptyList)
{
    EXPECT_FALSE(fetch().hasValue());
}

} // namespace oriolerill::relay::internal
