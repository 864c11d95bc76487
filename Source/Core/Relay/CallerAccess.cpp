#include "Relay/CallerAccess.h"

#include "Relay/Statuses.h"

namespace LaburnumChute::Relay {

namespace {

/// Operators need longer than this to change the configuration.
constexpr Common::milliseconds ConflictRetryAfter{30000};

tl::unexpected<AccessRefusal> refuse(unsigned status, std::string_view reason, bool mayChange)
{
    return tl::unexpected(AccessRefusal{status, reason, mayChange, std::nullopt});
}

} // namespace

tl::expected<CallerAccess, AccessRefusal> decideAccess(const Catalog::RouteTable &routes,
                                                       const CallerTarget &request)
{
    CallerAccess access;
    access.route = request.host != nullptr ? routes.find(*request.host, request.target) : nullptr;
    if (access.route == nullptr) {
        return refuse(NotFound, "no route matches the path", true);
    }
    const auto identification = Customers::identify(*routes.configuration().customers, request.keys,
                                                    access.route->anonymous);
    if (const auto *invalid = std::get_if<Customers::InvalidKey>(&identification)) {
        return refuse(Unauthorized, invalid->reason, invalid->unknown);
    }
    access.regions = access.route->homes;
    access.priority = access.route->priority;
    const auto *served = std::get_if<Customers::ServedFor>(&identification);
    if (served == nullptr) {
        return access;
    }
    access.customer = served->customer;
    access.priority = access.customer->priority.value_or(access.route->priority);
    auto regions = Customers::commonHomes(access.route->homes, access.customer->homes);
    if (!regions) {
        return tl::unexpected(AccessRefusal{ServiceUnavailable,
                                            "no region may serve both the route and the customer",
                                            true, ConflictRetryAfter});
    }
    access.regions = std::move(*regions);
    return access;
}

} // namespace LaburnumChute::Relay
