#include <gtest/gtest.h>

#include "Operator/Operator.h"

namespace LaburnumChute::Operator {

namespace {

constexpr const char *Dump = R"({
    "instance": "otaru-1", "region": "sapporo", "draining": false, "requests_in_flight": 4,
    "platform": {"configuration_number": 7, "last_rejection": "",
                 "cluster": {"members": [{"id": "otaru-1", "state": "alive"},
                                         {"id": "otaru-2", "state": "suspect"}]}},
    "decisions": {"endpoints": [
        {"id": "e1", "listed": true, "leaving": false, "own_in_flight": 2,
         "health": {"excluded": true}},
        {"id": "e2", "listed": true, "leaving": true, "own_in_flight": 0,
         "health": {"excluded": false}}]}
})";

InstanceView view()
{
    return *readInstanceView(Dump);
}

TEST(StatusTest, ReadsADump)
{
    const auto read = view();
    EXPECT_EQ(read.instance.text(), "otaru-1");
    EXPECT_EQ(read.configuration, 7U);
    EXPECT_EQ(read.members.at("otaru-2"), "suspect");
    ASSERT_EQ(read.endpoints.size(), 2U);
    EXPECT_TRUE(read.endpoints[0].excluded);
    EXPECT_TRUE(read.endpoints[1].leaving);
}

TEST(StatusTest, OddDumpsAreReadOrRefusedAndNeverCrash)
{
    EXPECT_FALSE(readInstanceView(""));
    EXPECT_FALSE(readInstanceView("[]"));
    EXPECT_FALSE(readInstanceView("{}"));
    const auto odd = readInstanceView(R"({"instance": 7, "platform": [], "decisions": 3})");
    ASSERT_TRUE(odd);
    EXPECT_EQ(odd->instance.text(), "?");
    EXPECT_TRUE(readInstanceView(
        R"({"instance": "a", "platform": {"cluster": {"members": [1, {"id": 2}]}},
            "decisions": {"endpoints": [7, {"id": 1}]}})"));
}

TEST(StatusTest, DifferentNumbersAndSilentInstancesShow)
{
    // Of three gateways one hangs and one still has the version before in force. An operator who
    // looked at a single dump would take the change for done.
    auto late = view();
    late.instance = Common::InstanceId("otaru-2");
    late.configuration = 6;
    const FleetStatus status(
        {{"127.0.0.1:1", view()},
         {"127.0.0.1:2", late},
         {"127.0.0.1:3", Common::makeError(Common::ErrorCode::Unavailable, "timed out")}});
    EXPECT_FALSE(status.allAnswered());
    EXPECT_FALSE(status.sameConfiguration());
    const auto table = status.table();
    EXPECT_NE(table.find("no answer"), std::string::npos);
    EXPECT_NE(table.find("e1        ejected by 2 of 2   4"), std::string::npos) << table;
    EXPECT_NE(table.find("e2        leaving for 2 of 2  0"), std::string::npos) << table;
    const auto document = status.document();
    EXPECT_EQ(document["instances"][1]["configuration_number"], 6);
    EXPECT_EQ(document["instances"][2]["error"], "timed out");
    EXPECT_EQ(document["same_configuration"], false);
}

} // namespace

} // namespace LaburnumChute::Operator
