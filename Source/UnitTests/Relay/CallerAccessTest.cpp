#include <gtest/gtest.h>

#include "Relay/CallerAccess.h"

namespace LaburnumChute::Relay {

namespace {

using Common::RegionName;

Catalog::RouteTable makeRoutes()
{
    auto configuration = std::make_shared<Catalog::Configuration>();
    Catalog::Route route;
    route.host = "shop.example";
    route.pathPrefix = "/draft/";
    route.priority = 3;
    route.homes = {RegionName("north"), RegionName("south")};
    route.services = {{Common::ServiceName("model"), 1}};
    configuration->routes.push_back(route);
    route.pathPrefix = "/open/";
    route.homes.clear();
    route.anonymous = true;
    configuration->routes.push_back(route);
    Customers::Customer school;
    school.name = Common::CustomerName("school");
    school.keys = {"key-1"};
    school.priority = 1;
    school.homes = {RegionName("south")};
    Customers::Customer club;
    club.name = Common::CustomerName("club");
    club.keys = {"key-2"};
    club.homes = {RegionName("east")};
    configuration->customers = *Customers::CustomerTable::create({school, club});
    return Catalog::RouteTable(configuration);
}

tl::expected<CallerAccess, AccessRefusal> decide(const std::string &target,
                                                 const std::vector<std::string_view> &keys)
{
    static const auto routes = makeRoutes();
    const std::string host = "shop.example";
    return decideAccess(routes, {&host, target, keys});
}

} // namespace

TEST(CallerAccessTest, CustomerReplacesPriorityAndNarrowsHomes)
{
    const auto access = decide("/draft/x", {"key-1"});
    ASSERT_TRUE(access);
    EXPECT_EQ(access->customer->name.text(), "school");
    EXPECT_EQ(access->priority, 1);
    EXPECT_EQ(access->regions, std::vector{RegionName("south")});
}

TEST(CallerAccessTest, AnonymousRequestHasThePropertiesOfItsRoute)
{
    const auto access = decide("/open/x", {});
    ASSERT_TRUE(access);
    EXPECT_EQ(access->customer, nullptr);
    EXPECT_EQ(access->priority, 3);
    EXPECT_TRUE(access->regions.empty());
}

// A route or key that is unknown here may be in a newer configuration; what is wrong with the
// request itself stays wrong.
TEST(CallerAccessTest, RefusalTellsWhetherANewerConfigurationMayChangeIt)
{
    const auto noRoute = decide("/other/x", {"key-1"});
    ASSERT_FALSE(noRoute);
    EXPECT_EQ(noRoute.error().status, 404U);
    EXPECT_TRUE(noRoute.error().mayChange);
    const auto unknownKey = decide("/draft/x", {"key-9"});
    ASSERT_FALSE(unknownKey);
    EXPECT_EQ(unknownKey.error().status, 401U);
    EXPECT_TRUE(unknownKey.error().mayChange);
    const auto noKey = decide("/draft/x", {});
    ASSERT_FALSE(noKey);
    EXPECT_EQ(noKey.error().status, 401U);
    EXPECT_FALSE(noKey.error().mayChange);
}

// Sent on, the request would reach a region that the customer or the route forbids. It is valid, so
// that an error of the caller (4xx) would be wrong.
TEST(CallerAccessTest, RequestThatNoRegionMayServeIsRefused)
{
    const auto access = decide("/draft/x", {"key-2"});
    ASSERT_FALSE(access);
    EXPECT_EQ(access.error().status, 503U);
    EXPECT_GT(access.error().retryAfter, Common::seconds(10));
}

TEST(CallerAccessTest, RequestWithoutHostIsRefused)
{
    EXPECT_FALSE(decideAccess(makeRoutes(), {nullptr, "/draft/x", {"key-1"}}));
}

} // namespace LaburnumChute::Relay
