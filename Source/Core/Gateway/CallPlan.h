#pragma once

#include <optional>
#include <string>

#include <tl/expected.hpp>

#include "Common/Common.h"
#include "Decisions/Decisions.h"
#include "Entry/Entry.h"
#include "Gateway/RoutingTable.h"
#include "Peers/Peers.h"

namespace LaburnumChute::Gateway {

/// A request as it arrived, from a caller or over the channel.
struct Arrival
{
    Common::RequestId id;
    std::string method;
    std::string target;
    Common::Headers headers;
    std::string body;
    /// Set for a request that another instance forwarded.
    std::optional<Peers::ForwardedRequest> forwarded;
};

/// What makes a request one that must not run twice.
struct OncePlan
{
    /// The key as sent; empty when there is none.
    std::string key;
    /// Over method, target and body.
    std::uint64_t bodyFingerprint = 0;
    /// Over customer, target and body.
    std::uint64_t orderFingerprint = 0;
    bool duplicateIntended = false;
};

/// What is to be done with a request, found from the configuration and the request alone.
struct CallPlan
{
    Decisions::RequestFacts facts;
    /// The id that the caller knows.
    Common::RequestId callerId;
    Common::CustomerName customer;
    /// Set for model calls.
    std::optional<Entry::ModelCallKind> model;
    /// The caller wants a stream.
    bool stream = false;
    std::string method;
    std::string target;
    std::string body;
    /// Headers that are passed on.
    Common::Headers headers;
    /// Set for a request that is not repeatable.
    std::optional<OncePlan> once;
    /// The time by which the caller wants the first byte.
    Common::Time deadline;
};

using PlanResult = tl::expected<CallPlan, Entry::Problem>;

/// Who sends the request; an error is answered with 401.
Common::Result<Common::CustomerName> authenticate(const Configuration::Configuration &configuration,
                                                  const Entry::CallerHeaders &headers);

/// Plans requests of one instance.
class CallPlanner
{
public:
    explicit CallPlanner(Common::RegionName home)
        : home_(std::move(home))
    {
    }

    PlanResult planModelCall(Entry::ModelCallKind kind, const Arrival &arrival,
                             const RoutingTable &table, Common::Time now) const;
    PlanResult planServiceCall(const Arrival &arrival, const RoutingTable &table,
                               Common::Time now) const;

private:
    struct Draft;

    tl::expected<Draft, Entry::Problem> begin(const Arrival &arrival,
                                              const RoutingTable &table) const;
    tl::expected<void, Entry::Problem> applyRoute(Draft &draft, const Arrival &arrival,
                                                  const Configuration::Route &route,
                                                  bool repeatable, Common::Time now) const;

    Common::RegionName home_;
};

} // namespace LaburnumChute::Gateway
