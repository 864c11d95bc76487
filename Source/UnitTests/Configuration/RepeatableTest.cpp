#include <gtest/gtest.h>

#include "Documents.h"

namespace LaburnumChute::Configuration {

namespace {

TEST(RepeatableTest, LongestPrefixAndOwnMethodDecide)
{
    const Service desk{ServiceName("desk"),
                       false,
                       {{"GET", "/", true}, {"*", "/orders", false}, {"GET", "/orders", true}}};
    EXPECT_TRUE(desk.isRepeatable("GET", "/state"));
    EXPECT_TRUE(desk.isRepeatable("GET", "/orders/7"));
    EXPECT_FALSE(desk.isRepeatable("POST", "/orders"));
    EXPECT_FALSE(desk.isRepeatable("POST", "/state"));
}

TEST(RepeatableTest, PrefixCoversWholeSegmentsOnly)
{
    EXPECT_TRUE(isUnder("/orders", "/orders"));
    EXPECT_TRUE(isUnder("/orders/", "/orders/7"));
    EXPECT_TRUE(isUnder("/", "/orders"));
    EXPECT_FALSE(isUnder("/orders", "/orders-archive"));
    EXPECT_FALSE(isUnder("/orders", "/order"));
}

TEST(RepeatableTest, OtherSpellingsOfAnOrdersPathAreNotRepeatable)
{
    // A caller's library writes the path of an order percent-encoded or with a doubled slash. The
    // service reads it as an order all the same. Were it matched by spelling alone, the service's
    // default would hold, the order would be sent again after a timeout, and two medals would be
    // cut.
    const Service desk{ServiceName("desk"), true, {{"POST", "/orders", false}}};
    EXPECT_TRUE(desk.isRepeatable("POST", "/state"));
    for (const auto *path : {"/%6frders", "//orders", "/./orders", "/a/../orders", "/\\orders"}) {
        EXPECT_FALSE(desk.isRepeatable("POST", path)) << path;
    }
}

TEST(RepeatableTest, RouteNarrowsAndNeverWidensWhatTheServiceSays)
{
    const auto caroni = *parse(example("caroni").dump());
    auto route = *caroni->route(ServiceName("dispatch-desk"), "/tickets");
    EXPECT_TRUE(caroni->isRepeatable(route, "GET", "/tickets/7"));
    EXPECT_FALSE(caroni->isRepeatable(route, "POST", "/dispatches"));
    route.repeatable = false;
    EXPECT_FALSE(caroni->isRepeatable(route, "GET", "/tickets/7"));
}

} // namespace

} // namespace LaburnumChute::Configuration
