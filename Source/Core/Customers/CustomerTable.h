#pragma once

#include <memory>
#include <string_view>
#include <variant>
#include <vector>

#include "Customers/Customer.h"
#include "Customers/KeyTable.h"

namespace LaburnumChute::Customers {

/// The customers of one configuration. Immutable after construction.
class CustomerTable
{
public:
    /// Fails if two customers have the same name or if a key is empty or is listed twice. The error
    /// does not contain keys.
    static Common::Result<std::shared_ptr<const CustomerTable>>
    create(std::vector<Customer> customers);

    /// A table without customers.
    static std::shared_ptr<const CustomerTable> none();

    /// Without customers, requests need no key.
    bool empty() const
    {
        return customers_.empty();
    }
    const std::vector<Customer> &customers() const
    {
        return customers_;
    }
    /// Null if no customer holds the key.
    const Customer *findByKey(std::string_view key) const;

private:
    CustomerTable() = default;

    std::vector<Customer> customers_;
    KeyTable keys_;
};

/// The request is served without a customer.
struct NoCustomer
{
};

/// The request is served for a customer.
struct ServedFor
{
    const Customer *customer = nullptr;
};

/// The request has no key that identifies one customer.
struct InvalidKey
{
    /// Does not contain the key.
    std::string_view reason;
    /// No customer holds the key. A newer configuration may contain it.
    bool unknown = false;
};

using Identification = std::variant<NoCustomer, ServedFor, InvalidKey>;

/// Determines which customer a request is served for.
/// @param keys values of all key headers of the request
/// @param anonymous the route requires no key; a known key still identifies its customer
Identification identify(const CustomerTable &table, const std::vector<std::string_view> &keys,
                        bool anonymous);

/// Regions that both lists allow, where an empty list allows all regions. Nothing if no region is
/// allowed by both.
std::optional<std::vector<RegionName>> commonHomes(const std::vector<RegionName> &one,
                                                   const std::vector<RegionName> &other);

} // namespace LaburnumChute::Customers
