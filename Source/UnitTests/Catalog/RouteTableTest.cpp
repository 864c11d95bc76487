#include <gtest/gtest.h>

#include "Catalog/Catalog.h"

namespace LaburnumChute::Catalog {

namespace {

Route route(const std::string &host, const std::string &prefix, const std::string &service)
{
    Route result;
    result.name = prefix;
    result.host = host;
    result.pathPrefix = prefix;
    result.services = {{ServiceName(service), 1}};
    return result;
}

RouteTable table(std::vector<Route> routes)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->routes = std::move(routes);
    return RouteTable(configuration);
}

std::string found(const RouteTable &routes, const std::string &host, const std::string &target)
{
    const auto *route = routes.find(host, target);
    return route == nullptr ? "" : route->pathPrefix;
}

} // namespace

TEST(RouteTableTest, LongestPrefixOfTheHostWins)
{
    const auto routes = table({route("h", "/a/", "x"), route("h", "/a/b/", "y"),
                               route("other", "/a/b/c/", "z"), route("h", "/", "all")});
    EXPECT_EQ(found(routes, "h", "/a/b/c/d"), "/a/b/");
    EXPECT_EQ(found(routes, "h", "/a/c"), "/a/");
    EXPECT_EQ(found(routes, "h", "/z"), "/");
    EXPECT_EQ(found(routes, "nobody", "/a/b"), "");
}

TEST(RouteTableTest, PrefixIncludesItsSlashAndIgnoresTheQuery)
{
    const auto routes = table({route("h", "/a/", "x")});
    EXPECT_EQ(found(routes, "h", "/a"), "");
    EXPECT_EQ(found(routes, "h", "/ab/"), "");
    EXPECT_EQ(found(routes, "h", "/b?/a/"), "");
    EXPECT_EQ(found(routes, "h", "/a/?x=/b/"), "/a/");
}

TEST(RouteTableTest, HostIgnoresCaseAndPort)
{
    const auto routes = table({route("Shop.example", "/", "x")});
    EXPECT_EQ(found(routes, "shop.EXAMPLE:8080", "/"), "/");
}

// Two instances select the service of the same request after it was forwarded or sent again. A
// random choice by each of them could execute it at two services.
TEST(RouteTableTest, SplitDependsOnlyOnTheRequest)
{
    auto split = route("h", "/", "x");
    split.services = {{ServiceName("x"), 90}, {ServiceName("y"), 10}};
    int atY = 0;
    constexpr int Requests = 2000;
    for (int index = 0; index < Requests; ++index) {
        const auto id = "request-" + std::to_string(index);
        EXPECT_EQ(serviceFor(split, id), serviceFor(split, id));
        atY += serviceFor(split, id) == ServiceName("y") ? 1 : 0;
    }
    EXPECT_NEAR(atY, Requests / 10.0, Requests / 40.0);
}

TEST(RouteTableTest, SplitWithoutWeightsSelectsAService)
{
    auto split = route("h", "/", "x");
    split.services = {{ServiceName("x"), 0}, {ServiceName("y"), 0}};
    EXPECT_EQ(serviceFor(split, "id"), ServiceName("x"));
}

} // namespace LaburnumChute::Catalog
