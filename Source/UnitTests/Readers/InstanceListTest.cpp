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
    EXPECT_NE(errorAfter("/as_of_ms", "now").find("/as_of_ms"), std::string::npos);
    EXPECT_NE(errorAfter("/instances/0/id", 7).find("/instances/0/id"), std::string::npos);
    EXPECT_NE(errorAfter("/instances/0/id", "").find("/instances/0/id"), std::string::npos);
    EXPECT_NE(errorAfter("/instances/0/state", "gone").find("/instances/0/state"),
              std::string::npos);
    EXPECT_NE(errorAfter("/endpoints", json::object()).find("/endpoints"), std::string::npos);
}

// Guards against instances that follow the list no more after one invalid entry, and against the
// use of an endpoint of which only a part is known.
TEST(InstanceListTest, InvalidEndpointIsLeftOutAndReportedWithItsPath)
{
    const std::vector<std::pair<std::string, json>> changes = {
        {"/kind", "moped"},
        {"/checks_fences", "no"},
        {"/state", "resting"},
        {"/id", 7},
        {"/id", ""},
        {"/http", "127.0.0.1"},
        {"/http", "127.0.0.1:0"},
        {"/http", "127.0.0.1:65536"},
        {"/http", 1e300},
        {"/region", json::array()},
        {"", "e1"},
        {"", -1},
    };
    for (const auto &[member, value] : changes) {
        auto list = validList();
        auto odd = list["endpoints"][0];
        odd["id"] = "odd";
        odd[json::json_pointer(member)] = value;
        list["endpoints"].insert(list["endpoints"].begin(), odd);
        const auto parsed = parseInstanceList(list.dump());
        ASSERT_TRUE(parsed) << member << value;
        ASSERT_EQ(parsed->endpoints.size(), 1U) << member << value;
        EXPECT_EQ(parsed->endpoints[0].id, Common::EndpointId("e1"));
        ASSERT_EQ(parsed->invalidEndpoints.size(), 1U) << member << value;
        EXPECT_NE(parsed->invalidEndpoints[0].find("/endpoints/0" + member), std::string::npos);
    }
}

TEST(InstanceListTest, DuplicateIdsAreReportedAndTheFirstCounts)
{
    auto list = validList();
    list["endpoints"].push_back(list["endpoints"][0]);
    list["endpoints"][1]["http"] = "127.0.0.1:9";
    const auto parsed = parseInstanceList(list.dump());
    ASSERT_TRUE(parsed);
    ASSERT_EQ(parsed->endpoints.size(), 1U);
    EXPECT_EQ(parsed->endpoints[0].http, "127.0.0.1:4");
    ASSERT_EQ(parsed->invalidEndpoints.size(), 1U);
    EXPECT_NE(parsed->invalidEndpoints[0].find("/endpoints/1/id"), std::string::npos);
    list["instances"].push_back(list["instances"][0]);
    EXPECT_FALSE(parseInstanceList(list.dump()));
}

// Guards against one entry whose text is no JSON that this program can hold.
TEST(InstanceListTest, EndpointThatCannotBeParsedIsLeftOut)
{
    const auto nested = std::string(100000, '[') + std::string(100000, ']');
    for (const auto &odd : {nested, fmt::format(R"({{"id":"odd","note":{}}})", nested),
                            std::string(R"({"id":"odd","slots":1e400})"), std::string("ready"),
                            std::string("{\"id\":\"\xff\xfe\"}")}) {
        auto text = validList().dump();
        const auto begin = text.find(R"("endpoints":[)") + 13;
        text.insert(begin, odd + ",");
        const auto parsed = parseInstanceList(text);
        ASSERT_TRUE(parsed) << odd.substr(0, 40);
        EXPECT_EQ(parsed->endpoints.size(), 1U) << odd.substr(0, 40);
        EXPECT_EQ(parsed->invalidEndpoints.size(), 1U) << odd.substr(0, 40);
    }
}

TEST(InstanceListTest, EndpointsMayBeTheFirstMemberAndEmpty)
{
    const auto parsed =
        parseInstanceList(R"( { "endpoints" : [ ] , "instances" : [ ] , "as_of_ms" : 1 } )");
    ASSERT_TRUE(parsed) << parsed.error().message;
    EXPECT_TRUE(parsed->endpoints.empty());
}

TEST(InstanceListTest, MalformedDocumentsAreErrors)
{
    for (const auto *text : {"", "{", "null", "[]", "{}", R"({"instances": [], "endpoints": 1})",
                             R"({"as_of_ms": 1, "instances": [], "endpoints": [)",
                             R"({"as_of_ms": 1, "instances": [], "endpoints": []]})",
                             R"({"as_of_ms": 1, "instances": [], "endpoints": ["x}",])"}) {
        EXPECT_FALSE(parseInstanceList(text)) << text;
    }
}

} // namespace

} // namespace LaburnumChute::Readers
