#include <gtest/gtest.h>

#include "Customers/Customers.h"

namespace LaburnumChute::Customers {

namespace {

Customer makeCustomer(const std::string &name, std::vector<std::string> keys)
{
    Customer customer;
    customer.name = CustomerName(name);
    customer.keys = std::move(keys);
    return customer;
}

std::shared_ptr<const CustomerTable> makeTable()
{
    return *CustomerTable::create(
        {makeCustomer("school", {"key-1", "key-2"}), makeCustomer("club", {"key-3"})});
}

std::string outcome(const Identification &identification)
{
    if (const auto *served = std::get_if<ServedFor>(&identification)) {
        return served->customer->name.text();
    }
    const auto *invalid = std::get_if<InvalidKey>(&identification);
    return invalid == nullptr ? "none" : (invalid->unknown ? "unknown" : "invalid");
}

std::vector<RegionName> regions(const std::vector<std::string> &names)
{
    std::vector<RegionName> result;
    for (const auto &name : names) {
        result.emplace_back(name);
    }
    return result;
}

} // namespace

TEST(CustomerTableTest, KeyIdentifiesItsHolder)
{
    const auto table = makeTable();
    EXPECT_EQ(outcome(identify(*table, {"key-1"}, false)), "school");
    EXPECT_EQ(outcome(identify(*table, {"key-2"}, false)), "school");
    EXPECT_EQ(outcome(identify(*table, {"key-3"}, false)), "club");
}

// A request with an unknown or missing key must not run, nor one whose key is ambiguous.
TEST(CustomerTableTest, RequestsWithoutOneValidKeyAreNotServed)
{
    const auto table = makeTable();
    EXPECT_EQ(outcome(identify(*table, {"key-4"}, false)), "unknown");
    EXPECT_EQ(outcome(identify(*table, {"KEY-1"}, false)), "unknown");
    EXPECT_EQ(outcome(identify(*table, {}, false)), "invalid");
    EXPECT_EQ(outcome(identify(*table, {""}, false)), "invalid");
    EXPECT_EQ(outcome(identify(*table, {"key-1", "key-3"}, false)), "invalid");
    EXPECT_EQ(outcome(identify(*table, {"key-1", "key-1"}, true)), "invalid");
}

TEST(CustomerTableTest, AnonymousRoutesNeedNoKey)
{
    const auto table = makeTable();
    EXPECT_EQ(outcome(identify(*table, {}, true)), "none");
    EXPECT_EQ(outcome(identify(*table, {"key-4"}, true)), "none");
    EXPECT_EQ(outcome(identify(*table, {"key-3"}, true)), "club");
}

TEST(CustomerTableTest, WithoutCustomersNoKeyIsNeeded)
{
    EXPECT_EQ(outcome(identify(*CustomerTable::none(), {"key-1"}, false)), "none");
}

// A key with two holders would serve requests for the wrong customer.
TEST(CustomerTableTest, AmbiguousConfigurationIsAnErrorThatDoesNotContainKeys)
{
    const auto twice = CustomerTable::create(
        {makeCustomer("school", {"secret"}), makeCustomer("club", {"secret"})});
    ASSERT_FALSE(twice);
    EXPECT_NE(twice.error().message.find("club"), std::string::npos);
    EXPECT_EQ(twice.error().message.find("secret"), std::string::npos);
    EXPECT_FALSE(CustomerTable::create({makeCustomer("school", {""})}));
    EXPECT_FALSE(CustomerTable::create({makeCustomer("school", {}), makeCustomer("school", {})}));
}

TEST(CustomerTableTest, HomesOfRouteAndCustomerBothApply)
{
    EXPECT_EQ(commonHomes({}, {}), regions({}));
    EXPECT_EQ(commonHomes(regions({"north"}), {}), regions({"north"}));
    EXPECT_EQ(commonHomes({}, regions({"south"})), regions({"south"}));
    EXPECT_EQ(commonHomes(regions({"north", "south"}), regions({"south", "east"})),
              regions({"south"}));
    EXPECT_EQ(commonHomes(regions({"north"}), regions({"south"})), std::nullopt);
}

TEST(CustomerTableTest, UsageIsCountedInTheUnitOfTheCustomer)
{
    Customer customer;
    customer.defaultTokens = 200;
    EXPECT_EQ(usageOf(customer, 1540), 1);
    customer.unit = UsageUnit::Tokens;
    EXPECT_EQ(usageOf(customer, 1540), 1540);
    EXPECT_EQ(usageOf(customer, std::nullopt), 200);
    EXPECT_EQ(usageOf(customer, 9e18), 1e9) << "a caller's number must not spoil the sums";
}

} // namespace LaburnumChute::Customers
