#include "relay/tests/relayfixture.h"

#include <functional>
#include <future>

namespace oriolerill::relay {

using namespace std::chrono_literals;
using domain::DataCentreId;
using domain::EndpointId;
using domain::TimePoint;

/// An entry whose request goes to the endpoint "departing" in data centre "dc-a". Another endpoint
/// in "dc-b" is listed once the connection to the first one is open, before anything is sent.
class DepartedChoiceFixture : public RelayFixture
{
protected:
    DepartedChoiceFixture()
        : m_departing(m_callerContext, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_accepted(m_callerContext)
    {
        m_departing.non_blocking(true);
        routing::ListedEndpoint listed;
        listed.id = EndpointId("departing");
        listed.service = domain::ServiceId("s");
        listed.dataCentre = DataCentreId("dc-a");
        listed.address = {"127.0.0.1", m_departing.local_endpoint().port()};
        listed.slots = 4;
        m_listed.push_back(listed);
    }

    /// The entry's thread runs this between any two of its handlers.
    void applyOnceConnected(const std::function<void()> &change)
    {
        constexpr auto ConnectTime = 5ms;
        if (!m_relay.requestsInFlight.empty())
            std::this_thread::sleep_for(ConnectTime);
        boost::system::error_code code;
        m_departing.accept(m_accepted, code);
        if (code) {
            boost::asio::post(m_context, [this, change] { applyOnceConnected(change); });
            return;
        }
        m_dispatcher.endpoints().apply(
                {{m_listed.back().id, m_listed.back()}}, TimePoint::clock::now());
        change();
        m_isConnected = true;
    }

    /// Answer to a request during whose connection the change is made.
    std::string callDuring(const std::function<void()> &change)
    {
        start();
        addEndpoint([](ScriptedEndpoint::Socket &socket, const std::string & /*request*/) {
            write(socket, answer("a1", "good"));
            return true;
        });
        m_listed.back().dataCentre = DataCentreId("dc-b");
        boost::asio::post(m_context, [this, change] { applyOnceConnected(change); });
        return call(request("POST", "/order/1", Close, "o"));
    }

    void applyToDeparting(std::optional<routing::ListedEndpoint> state)
    {
        m_dispatcher.endpoints().apply(
                {{EndpointId("departing"), std::move(state)}}, TimePoint::clock::now());
    }

    boost::asio::ip::tcp::acceptor m_departing;
    boost::asio::ip::tcp::socket m_accepted;
    std::atomic<bool> m_isConnected = false;
};

// Regression: a request was sent to an endpoint whose removal had been read while the entry
// connected to it, up to 0.4 s later (DRAIN).
TEST_F(DepartedChoiceFixture, serve_endpointRemovedWhileConnecting_sentToAnother)
{
    const std::string answer = callDuring([this] { applyToDeparting(std::nullopt); });
    EXPECT_EQ(statusOf(answer), 200U) << answer;
    EXPECT_EQ(m_accepted.available(), 0U);
}

// Regression: the same with an endpoint that announced its leaving.
TEST_F(DepartedChoiceFixture, serve_endpointDrainsWhileConnecting_sentToAnother)
{
    const std::string answer = callDuring([this] {
        routing::ListedEndpoint draining = m_listed.front();
        draining.isDraining = true;
        applyToDeparting(draining);
    });
    EXPECT_EQ(statusOf(answer), 200U) << answer;
    EXPECT_EQ(m_accepted.available(), 0U);
}

// Regression: the same with a data centre that was withdrawn meanwhile (EVAC).
TEST_F(DepartedChoiceFixture, serve_dataCentreWithdrawnWhileConnecting_sentToAnother)
{
    const std::string answer
            = callDuring([this] { m_dispatcher.setWithdrawn({DataCentreId("dc-a")}); });
    EXPECT_EQ(statusOf(answer), 200U) << answer;
    EXPECT_EQ(m_accepted.available(), 0U);
}

// Guards against a choice that is given up although nothing has changed.
TEST_F(DepartedChoiceFixture, serve_nothingChangesWhileConnecting_sentToChosen)
{
    auto answer = std::async(std::launch::async, [this] { return callDuring([] {}); });
    ASSERT_TRUE(waitFor(m_isConnected));
    char byte = 0;
    EXPECT_EQ(m_accepted.read_some(boost::asio::buffer(&byte, 1)), 1U);
    m_accepted.close();
    answer.get();
}

} // namespace oriolerill::relay
