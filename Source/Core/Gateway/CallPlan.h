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

/// A request received from a caller or, over the peer channel, from another instance.
struct IncomingRequest
{
    Common::RequestId id;
    std::string method;
    std::string target;
    Common::Headers headers;
    std::string body;
    /// Set if another instance forwarded the request.
    std::optional<Peers::ForwardedRequest> forwarded;
};

/// Data for the at-most-once execution of a request that is not repeatable.
struct AtMostOncePlan
{
    /// The idempotency key as the caller sent it; empty if there is none.
    std::string key;
    /// Hash of method, target and body.
    std::uint64_t bodyFingerprint = 0;
    /// Hash of customer, method, target and body.
    std::uint64_t orderFingerprint = 0;
    bool duplicateIntended = false;
};

/// How to process a request, derived from the configuration and the request alone.
struct CallPlan
{
    Decisions::RequestFacts facts;
    /// The request id that the caller knows.
    Common::RequestId callerId;
    Common::CustomerName customer;
    /// Set for model calls.
    std::optional<Entry::ModelCallKind> model;
    /// The caller asked for a streamed response.
    bool stream = false;
    std::string method;
    std::string target;
    std::string body;
    /// Headers to forward to the endpoint.
    Common::Headers headers;
    /// Set for a request that is not repeatable.
    std::optional<AtMostOncePlan> atMostOnce;
    /// Deadline for the first byte of the response.
    Common::Time deadline;
};

using PlanResult = tl::expected<CallPlan, Entry::Problem>;

/// Returns the customer that sent the request. Callers of this function answer an error with 401.
Common::Result<Common::CustomerName> authenticate(const Configuration::Configuration &configuration,
                                                  const Entry::CallerHeaders &headers);

/// Builds the call plans of an instance.
class CallPlanner
{
public:
    explicit CallPlanner(Common::RegionName home)
        : home_(std::move(home))
    {
    }

    PlanResult planModelCall(Entry::ModelCallKind kind, const IncomingRequest &incoming,
                             const RoutingTable &table, Common::Time now) const;
    PlanResult planServiceCall(const IncomingRequest &incoming, const RoutingTable &table,
                               Common::Time now) const;

private:
    struct Draft;

    tl::expected<Draft, Entry::Problem> createDraft(const IncomingRequest &incoming,
                                                    const RoutingTable &table) const;
    tl::expected<void, Entry::Problem> applyRoute(Draft &draft, const IncomingRequest &incoming,
                                                  const Configuration::Route &route,
                                                  bool repeatable, Common::Time now) const;

    Common::RegionName home_;
};

} // namespace LaburnumChute::Gateway
