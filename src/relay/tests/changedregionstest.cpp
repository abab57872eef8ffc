#include "relay/tests/relayfixture.h"

#include <future>
#include <set>

namespace oriolerill::relay {

using namespace std::chrono_literals;
using Socket = ScriptedEndpoint::Socket;
using domain::RegionId;
using domain::TimePoint;

/// An entry and its endpoints in region "south", and a configuration whose allowed regions change
/// while a request is served.
class ChangedRegionsFixture : public RelayFixture
{
protected:
    ChangedRegionsFixture()
        : RelayFixture(options())
    {
        m_routeTimeout = 4s;
    }

    static routing::DispatcherOptions options()
    {
        routing::DispatcherOptions options;
        options.dataCentre = domain::DataCentreId("south-a");
        options.regions = {{domain::DataCentreId("south-a"), RegionId("south")}};
        return options;
    }

    ScriptedEndpoint &addSouthern(ScriptedEndpoint::Script script)
    {
        ScriptedEndpoint &endpoint = addEndpoint(std::move(script));
        m_listed.back().dataCentre = domain::DataCentreId("south-a");
        return endpoint;
    }

    /// Holds the request until it is released, then states that it has not run.
    ScriptedEndpoint &addHolding()
    {
        return addSouthern([this](Socket &socket, const std::string &) {
            m_isHeld = true;
            m_released.wait();
            write(socket, answer("a1", "", "503 Service Unavailable", "Not-Executed: 1\r\n"));
            return true;
        });
    }

    ScriptedEndpoint &addAnswering()
    {
        return addSouthern([](Socket &socket, const std::string &) {
            write(socket, answer("a1", "good"));
            return true;
        });
    }

    /// Answer to a request whose first endpoint refuses it after a configuration with these allowed
    /// regions was applied and a second endpoint in region "south" was listed.
    std::string callWhileAllowedRegionsChange(
            const std::set<RegionId> &accountRegions, const std::set<RegionId> &routeRegions)
    {
        auto answer = std::async(std::launch::async,
                [this] { return call(request("POST", "/order/1", Close, "o")); });
        EXPECT_TRUE(waitFor(m_isHeld));
        std::promise<void> changed;
        boost::asio::post(m_context, [&] {
            routing::Route changedRoute = route("/order/", routing::RequestKind::NonIdempotent);
            changedRoute.allowedRegions = routeRegions;
            auto config = std::make_shared<routing::ServingConfig>(
                    2, std::vector{changedRoute}, std::vector{service()}, m_limits);
            config->addAccount("secret", {domain::AccountId("shop"), std::nullopt, accountRegions});
            m_dispatcher.setConfig(config);
            m_dispatcher.endpoints().replaceAll(m_listed, TimePoint::clock::now());
            changed.set_value();
        });
        changed.get_future().get();
        m_release.set_value();
        return answer.get();
    }

    std::atomic<bool> m_isHeld = false;
    std::promise<void> m_release;
    std::shared_future<void> m_released = m_release.get_future().share();
};

// Regression: a repeated request was sent to an endpoint outside the account's allowed regions. The
// repeat used the configuration of the request's arrival, before the account had allowed regions
// (HOME).
TEST_F(ChangedRegionsFixture, serve_accountRegionsChangedBeforeRepeat_notSentToDisallowedRegion)
{
    addHolding();
    start();
    ScriptedEndpoint &disallowed = addAnswering();
    const std::string answer = callWhileAllowedRegionsChange({RegionId("north")}, {});
    EXPECT_EQ(statusOf(answer), 503U) << answer;
    EXPECT_TRUE(disallowed.requests().empty());
}

// Regression: the same for the allowed regions of a route.
TEST_F(ChangedRegionsFixture, serve_routeRegionsChangedBeforeRepeat_notSentToDisallowedRegion)
{
    addHolding();
    start();
    ScriptedEndpoint &disallowed = addAnswering();
    const std::string answer = callWhileAllowedRegionsChange({}, {RegionId("north")});
    EXPECT_EQ(statusOf(answer), 503U) << answer;
    EXPECT_TRUE(disallowed.requests().empty());
}

// Guards against a check of allowed regions that refuses a repeat which they permit.
TEST_F(ChangedRegionsFixture, serve_ownRegionAllowedBeforeRepeat_repeated)
{
    addHolding();
    start();
    ScriptedEndpoint &second = addAnswering();
    const std::string answer
            = callWhileAllowedRegionsChange({RegionId("south")}, {RegionId("south")});
    EXPECT_EQ(statusOf(answer), 200U) << answer;
    EXPECT_EQ(second.requests().size(), 1U);
}

} // namespace oriolerill::relay
