#pragma once

#include <cstdint>
#include <vector>

#include "Customers/Customer.h"

namespace LaburnumChute::Customers {

/// Identifies a customer in messages between instances.
std::uint32_t shortId(const CustomerName &name);

/// Usage rate of one customer.
struct CustomerUsage
{
    std::uint32_t customer = 0;
    std::uint32_t perSecond = 0;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(customer, perSecond);
    }
};

/// Usage that one instance, or all instances of a region, have admitted recently. Customers whose
/// usage is far below their limit are left out.
struct UsageReport
{
    /// Number of instances whose usage is contained.
    std::uint16_t instances = 1;
    std::vector<CustomerUsage> usages;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instances, usages);
    }
};

} // namespace LaburnumChute::Customers
