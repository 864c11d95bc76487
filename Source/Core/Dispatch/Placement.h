#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Dispatch/Call.h"
#include "Dispatch/EndpointBook.h"

namespace LaburnumChute::Dispatch {

/// An endpoint on which a request could be placed, and what is expected there.
struct Candidate
{
    EndpointState *endpoint = nullptr;
    /// Until the first event, and the part of it that the endpoint's other work takes.
    Duration expected{0};
    Duration wait{0};
    double cost = 0;
    std::int64_t prefillTokens = 0;
    std::optional<std::string> copyFrom;
};

/// Chooses the endpoint of the own region for a request.
///
/// Load pattern: long prompts with large shared parts beside many short ones. A request goes where
/// its first event is expected first, where prompts that wait to be read there, parts of this
/// prompt that are not in its memory, and its past slowness count.
class Placement
{
public:
    /// @param startedAt start of this process
    Placement(const DispatchOptions &options, EndpointBook &book, InstanceId self,
              std::uint64_t seed, Time startedAt);

    void setBounds(const Catalog::Bounds &bounds);
    /// Live instances of the own region, this one among them.
    void setInstances(const std::vector<InstanceId> &instances);

    std::optional<Candidate> choose(const Call &call, Time now);
    /// Whether the request is sent there now rather than later, or elsewhere.
    bool fits(const Call &call, const Candidate &candidate, Time now) const;
    /// How long the engine's other work delays a request.
    Duration engineWait(const EndpointState &endpoint, Time now) const;
    /// What a call takes on a plain endpoint, its wait included.
    Duration plainWait(const EndpointState &endpoint) const;

private:
    /// Who holds the most of a prompt.
    struct Holder
    {
        /// Empty when nobody holds any of it.
        std::string address;
        /// Null for one of another region.
        const EndpointState *endpoint = nullptr;
        std::int64_t tokens = 0;
    };

    /// @param position of the endpoint among those of its service
    bool available(const EndpointState &endpoint, std::size_t position,
                   const Catalog::Service &service, const Call &call, Time now) const;
    bool hasRoom(const EndpointState &endpoint, std::size_t position,
                 const Catalog::Service &service, const Call &call, Time now) const;
    double tieBreak(const EndpointState &endpoint);
    Candidate evaluate(EndpointState &endpoint, const Catalog::Service &service, const Call &call,
                       const Holder &holder, Time now);
    double generationCost(const EndpointState &endpoint, const Call &call, Duration reading,
                          Time now) const;
    Holder holderOf(const Call &call, Time now) const;
    const EndpointState *homeEndpoint(const Call &call) const;
    int coldQuota(const EndpointState &endpoint, const Catalog::Service &service) const;

    const DispatchOptions *options_;
    EndpointBook *book_;
    InstanceId self_;
    std::mt19937_64 random_;
    Time startedAt_;
    Catalog::Bounds bounds_;
    std::vector<InstanceId> instances_;
    /// Of this instance among them, by id.
    std::size_t rank_ = 0;
};

} // namespace LaburnumChute::Dispatch
