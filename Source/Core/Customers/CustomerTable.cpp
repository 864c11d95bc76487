#include "Customers/CustomerTable.h"

#include <algorithm>
#include <set>

namespace LaburnumChute::Customers {

namespace {

/// Callers state their tokens themselves. A larger number would make sums of usage inexact.
constexpr double MaxUsage = 1e9;

} // namespace

double usageOf(const Customer &customer, std::optional<double> tokens)
{
    if (customer.unit == UsageUnit::Requests) {
        return 1;
    }
    return std::min(tokens.value_or(customer.defaultTokens), MaxUsage);
}

Common::Result<std::shared_ptr<const CustomerTable>>
CustomerTable::create(std::vector<Customer> customers)
{
    const auto invalid = [](const Customer &customer, const std::string &problem) {
        return Common::makeError(Common::ErrorCode::InvalidArgument,
                                 "customer " + customer.name.text() + ": " + problem);
    };
    auto table = std::shared_ptr<CustomerTable>(new CustomerTable());
    std::set<CustomerName> names;
    for (std::size_t index = 0; index < customers.size(); ++index) {
        const auto &customer = customers[index];
        if (!names.insert(customer.name).second) {
            return invalid(customer, "the name is listed twice");
        }
        for (const auto &key : customer.keys) {
            if (!table->keys_.add(key, index)) {
                return invalid(customer, "a key is empty or listed twice");
            }
        }
    }
    table->customers_ = std::move(customers);
    return std::shared_ptr<const CustomerTable>(std::move(table));
}

std::shared_ptr<const CustomerTable> CustomerTable::none()
{
    return std::shared_ptr<const CustomerTable>(new CustomerTable());
}

const Customer *CustomerTable::findByKey(std::string_view key) const
{
    const auto holder = keys_.find(key);
    return holder ? &customers_[*holder] : nullptr;
}

Identification identify(const CustomerTable &table, const std::vector<std::string_view> &keys,
                        bool anonymous)
{
    if (table.empty()) {
        return NoCustomer{};
    }
    if (keys.size() > 1) {
        return InvalidKey{"more than one API key", false};
    }
    const auto *customer = keys.empty() ? nullptr : table.findByKey(keys.front());
    if (customer != nullptr) {
        return ServedFor{customer};
    }
    if (anonymous) {
        return NoCustomer{};
    }
    if (keys.empty() || keys.front().empty()) {
        return InvalidKey{"no API key", false};
    }
    return InvalidKey{"the API key is not known", true};
}

std::optional<std::vector<RegionName>> commonHomes(const std::vector<RegionName> &one,
                                                   const std::vector<RegionName> &other)
{
    if (one.empty() || other.empty()) {
        return one.empty() ? other : one;
    }
    std::vector<RegionName> common;
    std::copy_if(one.begin(), one.end(), std::back_inserter(common), [&](const RegionName &region) {
        return std::find(other.begin(), other.end(), region) != other.end();
    });
    return common.empty() ? std::nullopt : std::optional(std::move(common));
}

} // namespace LaburnumChute::Customers
