#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Dispatch/Call.h"
#include "Dispatch/EndpointTable.h"
#include "Dispatch/Reachability.h"
#include "Dispatch/StreamGrouping.h"

namespace LaburnumChute::Dispatch {

/// An endpoint that a request could be sent to, with the expected times and cost.
struct Candidate
{
    EndpointState *endpoint = nullptr;
    /// Time until the first event, and the part of it that is caused by other work of the endpoint.
    Duration expected{0};
    Duration wait{0};
    double cost = 0;
    std::int64_t prefillTokens = 0;
    std::optional<std::string> copyFrom;
    std::optional<CacheCopy> copy;
    /// The copy, if its time follows from its size.
    std::optional<MeasuredCopy> measuredCopy;
    /// Time for which the copy occupies the links.
    TransferTime copyTime;
    /// Another endpoint has more of the prompt, but prefilling it again is sooner than a copy.
    bool prefillsSooner = false;
    /// See Send.
    bool pausesKnown = false;
    double pauseRisk = 0;
    std::optional<bool> grouped;
};

/// Chooses an endpoint of the own region for a request.
///
/// Load pattern: long prompts with large shared parts beside many short ones. A request is sent
/// where its first event is expected first. The expected time depends on the endpoint's prefill
/// queue, on the parts of the prompt that are missing in its prefix cache, and on its past
/// slowness.
class Placement
{
public:
    /// @param startedAt start time of this process
    Placement(const DispatchOptions &options, EndpointTable &table,
              const Reachability &reachability, PauseModels &pauses, StreamGrouping &grouping,
              InstanceId self, std::uint64_t seed, Time startedAt);

    void setBounds(const Catalog::Bounds &bounds);
    /// Instances of the own region that may send to its cold endpoints, see ColdRateLimit::quota().
    void setSharers(const std::vector<InstanceId> &known, std::size_t count);

    std::optional<Candidate> choose(const Call &call, Time now);
    /// Whether to send the request to the candidate now, rather than queue or forward it.
    bool shouldSend(const Call &call, const Candidate &candidate, Time now) const;
    /// Delay of a request by the engine's other work.
    Duration engineWait(const EndpointState &endpoint, Time now) const;
    /// Duration of a call on a plain endpoint, including its wait.
    Duration plainWait(const EndpointState &endpoint, Time now) const;

private:
    /// An endpoint that has parts of a prompt in its prefix cache.
    struct CacheHolder
    {
        const Catalog::EndpointRecord *record = nullptr;
        /// Null for an endpoint of another region.
        const EndpointState *endpoint = nullptr;
        std::int64_t tokens = 0;
        /// When its link is free.
        Time freeAt{};
    };
    struct CacheHolders
    {
        /// The one that has most; without a record if no endpoint has any.
        CacheHolder most;
        /// Those that have enough for a copy, if the time of transfers is known.
        std::vector<CacheHolder> all;
    };

    /// What is known of pauses in streams of a request's service.
    struct PauseFacts
    {
        /// Null while prompts are not known to cause pauses.
        const PauseModel *model = nullptr;
        /// The engines that a short stream prefers; empty if it prefers none.
        std::optional<std::vector<const EndpointState *>> group;
    };

    /// @param position of the endpoint among those of its service
    bool available(const EndpointState &endpoint, std::size_t position,
                   const Catalog::Service &service, const Call &call, Time now) const;
    bool hasSpareCapacity(const EndpointState &endpoint, std::size_t position,
                          const Catalog::Service &service, const Call &call, Time now) const;
    double tieBreak(const EndpointState &endpoint);
    Candidate evaluate(EndpointState &endpoint, const Catalog::Service &service, const Call &call,
                       const CacheHolders &holders, const PauseFacts &pauses, Time now);
    PauseFacts pauseFacts(const Call &call, Time now);
    /// Cost of the pauses that the prefill of the request causes in other streams of the engine.
    static double pauseCost(const Candidate &candidate, const Call &call);
    /// Cost of an engine outside the group of a short stream.
    double groupCost(const Candidate &candidate, const Call &call, const PauseFacts &pauses) const;
    /// Sets the copy that is expected to be completed first, if it is sooner than to prefill again.
    void planCopy(Candidate &candidate, const Catalog::Service &service, const Call &call,
                  const CacheHolders &holders, Time now);
    /// @param pauses cost of the pauses of other answers
    double generationCost(const EndpointState &endpoint, const Call &call, Duration prefill,
                          double pauses, Time now) const;
    CacheHolders cacheHolders(const Call &call, const Catalog::Service &service, Time now) const;
    const EndpointState *preferredEndpoint(const Call &call) const;
    int coldQuota(const EndpointState &endpoint, const Catalog::Service &service) const;

    const DispatchOptions *options_;
    EndpointTable *table_;
    const Reachability *reachability_;
    PauseModels *pauses_;
    StreamGrouping *grouping_;
    InstanceId self_;
    std::mt19937_64 random_;
    Time startedAt_;
    Catalog::Bounds bounds_;
    std::vector<InstanceId> sharers_;
    std::size_t sharerCount_ = 1;
};

} // namespace LaburnumChute::Dispatch
