#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "Readers/Readers.h"

namespace LaburnumChute::Readers {

namespace {

using nlohmann::json;

json validList()
{
    return json::parse(R"({
        "as_of_ms": 1764700000000,
        "instances": [{"id": "otaru-1", "region": "sapporo", "failure_domain": "sapporo-1",
                       "http": "127.0.0.1:1", "gossip": "127.0.0.1:2", "channel": "127.0.0.1:3",
                       "state": "leaving"}],
        "endpoints": [{"id": "e1", "kind": "service", "name": "order-desk", "region": "sapporo",
                       "failure_domain": "sapporo-1", "http": "127.0.0.1:4", "state": "live",
                       "checks_fences": true}]
    })");
}

std::string errorAfter(const std::string &pointer, const json &value)
{
    auto list = validList();
    list[json::json_pointer(pointer)] = value;
    const auto parsed = parseInstanceList(list.dump());
    return parsed ? std::string() : parsed.error().message;
}

TEST(InstanceListTest, ParsesInstancesAndEndpoints)
{
    const auto list = parseInstanceList(validList().dump());
    ASSERT_TRUE(list) << list.error().message;
    EXPECT_EQ(list->asOf, 1764700000000U);
    EXPECT_TRUE(list->instances[0].leaving);
    EXPECT_EQ(list->instances[0].channel, "127.0.0.1:3");
    EXPECT_EQ(list->endpoints[0].kind, EndpointKind::Service);
    EXPECT_FALSE(list->endpoints[0].leaving);
    EXPECT_TRUE(list->endpoints[0].checksFences);
}

TEST(InstanceListTest, ErrorContainsThePathOfTheInvalidMember)
{
    // Accepting the valid part of a list could make a gateway drop healthy endpoints or send new
    // requests to one that is leaving. The whole list is rejected and the previous one stays in
    // use.
    EXPECT_NE(errorAfter("/as_of_ms", "now").find("/as_of_ms"), std::string::npos);
    EXPECT_NE(errorAfter("/instances/0/id", 7).find("/instances/0/id"), std::string::npos);
    EXPECT_NE(errorAfter("/instances/0/id", "").find("/instances/0/id"), std::string::npos);
    EXPECT_NE(errorAfter("/instances/0/state", "gone").find("/instances/0/state"),
              std::string::npos);
    EXPECT_NE(errorAfter("/endpoints/0/kind", "moped").find("/endpoints/0/kind"),
              std::string::npos);
    EXPECT_NE(errorAfter("/endpoints/0/checks_fences", "no").find("/endpoints/0/checks_fences"),
              std::string::npos);
    EXPECT_NE(errorAfter("/endpoints/0", "e1").find("/endpoints/0"), std::string::npos);
    EXPECT_NE(errorAfter("/endpoints", json::object()).find("/endpoints"), std::string::npos);
}

TEST(InstanceListTest, DuplicateIdsAreRejected)
{
    auto list = validList();
    list["endpoints"].push_back(list["endpoints"][0]);
    const auto parsed = parseInstanceList(list.dump());
    ASSERT_FALSE(parsed);
    EXPECT_NE(parsed.error().message.find("/endpoints/1/id"), std::string::npos);
}

TEST(InstanceListTest, MalformedDocumentsAreErrors)
{
    for (const auto *text : {"", "{", "null", "[]", "{}", R"({"instances": [], "endpoints": 1})"}) {
        EXPECT_FALSE(parseInstanceList(text)) << text;
    }
}

} // namespace

} // namespace LaburnumChute::Readers
