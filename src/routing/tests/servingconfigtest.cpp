#include "routing/servingconfig.h"

#include <gtest/gtest.h>

#include <chrono>

namespace oriolerill::routing {

namespace {

Route route(const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = host + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    return route;
}

} // namespace

class ServingConfigFixture : public testing::Test
{
protected:
    std::string found(const std::string &host, const std::string &path) const
    {
        const Route *route = m_config.route(host, path);
        return route == nullptr ? "" : route->pathPrefix;
    }

    ServingConfig m_config{1,
            {route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/")}, {},
            {}};
};

// Guards against a request that goes to the route with the shorter prefix, or to a route of another
// host.
TEST_F(ServingConfigFixture, route_overlappingPrefixes_longestOfTheHost)
{
    EXPECT_EQ(found("a.example", "/x/y/z"), "/x/y/");
    EXPECT_EQ(found("a.example", "/x/yz"), "/x/");
    EXPECT_EQ(found("a.example", "/x"), "");
    EXPECT_EQ(found("a.example", "/other/x/"), "");
    EXPECT_EQ(found("b.example", "/anything"), "/");
    EXPECT_EQ(found("c.example", "/x/"), "");
}

// Guards against a lookup whose time grows with the number of routes, of which a configuration may
// have thousands. The time is compared with that for few routes, not with an absolute one.
TEST_F(ServingConfigFixture, route_thousandsOfRoutes_timeSimilarToFew)
{
    const auto timeOf = [](int count) {
        std::vector<Route> routes;
        routes.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            routes.push_back(route("h.example", "/p" + std::to_string(i) + "/"));
        const ServingConfig config(1, std::move(routes), {}, {});
        const auto started = std::chrono::steady_clock::now();
        for (int i = 0; i < 20000; ++i)
            EXPECT_NE(config.route("h.example", "/p1/rest/of/the/path"), nullptr);
        return std::chrono::steady_clock::now() - started;
    };
    const auto few = timeOf(10);
    EXPECT_LT(timeOf(5000), 20 * few);
}

} // namespace oriolerill::routing
