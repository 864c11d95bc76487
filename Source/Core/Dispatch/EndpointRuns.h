#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// Identifies one run of an endpoint's process: a crashed endpoint may return under its old id.
using RunId = std::uint64_t;
RunId runId(const Catalog::EndpointRecord &record);

/// What an instance knows of whether the processes of endpoints have ended.
///
/// A refused connection proves that a process has ended only if this instance reaches other
/// endpoints: connections are refused and reset in the same way on a path that is lost. While
/// several endpoints have not accepted a connection since any answered, refusals do not count; they
/// do once an endpoint answers a later request.
class EndpointRuns
{
public:
    /// Runs that are known to have ended now, and since when.
    using Ends = std::vector<std::pair<RunId, Time>>;

    /// The endpoint answered a request that was sent at the given time.
    Ends answered(RunId run, Time sentAt);
    /// No connection was established.
    /// @param refused nothing listens at the address, as far as this instance reaches it
    Ends notConnected(RunId run, bool refused, Time now);
    void ended(RunId run, Time at);
    void expire(Time now);

    std::optional<Time> endedAt(RunId run) const;
    /// Latest send time of a request that it answered.
    std::optional<Time> answeredAt(RunId run) const;
    /// Whether the paths to the endpoints may be lost.
    bool pathsDoubtful() const;

private:
    struct Unconnected
    {
        Time at{};
        /// The connection was refused, and that has not counted yet.
        bool refused = false;
    };

    std::unordered_map<RunId, Time> endedAt_;
    std::unordered_map<RunId, Time> answeredAt_;
    /// Runs that have not accepted a connection since another one answered.
    std::map<RunId, Unconnected> unconnected_;
    Time forgottenAt_{};
};

} // namespace LaburnumChute::Dispatch
