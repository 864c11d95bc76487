#pragma once

#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "Decisions/Facts.h"
#include "Decisions/Options.h"

namespace LaburnumChute::Decisions {

enum class Verdict {
    Clear,
    /// Was running on an endpoint that died. Runs without other suspects on the same endpoint, one
    /// attempt at a time.
    Suspect,
    Quarantined,
};

/// A fingerprint that has just reached the number of deaths for a quarantine.
struct QuarantineStart
{
    std::uint64_t fingerprint = 0;
    std::size_t deaths = 0;
};

/// Prevents a request that crashes endpoints from taking down one endpoint after another.
///
/// Load pattern: one request crashes whatever runs it and its caller sends it again. Without a
/// limit a few minutes of retries empty a small region.
/// When an endpoint dies, every fingerprint on it becomes a suspect. Suspects never share an
/// endpoint, so that a second death identifies one of them. A death with a suspect on the endpoint
/// is recorded only for the fingerprint with the most deaths; other requests there are not marked.
/// A fingerprint that was running on maxDeaths distinct endpoints when they died is quarantined.
/// Repeated deaths of the same endpoint count once, since that endpoint is faulty and not the
/// request. A suspect that completes is cleared; a quarantined one may run once after its time, on
/// an endpoint without other suspects and only at the instance that saw the last death: otherwise
/// each of several hundred instances would let it crash an endpoint.
/// The limit covers deaths that this instance knows of; other instances learn of deaths through
/// suspectNotices.
class Quarantine
{
public:
    explicit Quarantine(const QuarantineOptions &options);

    Verdict verdict(std::uint64_t fingerprint, Time now) const;
    /// False while another attempt of this suspect runs or while it is quarantined.
    bool mayStart(std::uint64_t fingerprint, Time now) const;
    /// Whether this endpoint died while running the fingerprint. The next attempt should use
    /// another endpoint, to tell a faulty endpoint from a dangerous request.
    bool diedOn(std::uint64_t fingerprint, const EndpointId &endpoint) const;
    /// Time until a quarantined or busy suspect may run again.
    Duration retryAfter(std::uint64_t fingerprint, Time now) const;

    /// Returns true if the attempt was counted as one of a suspect; only then must stopped()
    /// follow.
    bool started(std::uint64_t fingerprint);
    void stopped(std::uint64_t fingerprint);
    void completed(std::uint64_t fingerprint, Time now);
    /// @param runningFingerprints fingerprints of all requests on the endpoint when it died
    std::vector<QuarantineStart> endpointDied(const EndpointId &endpoint,
                                              const std::vector<std::uint64_t> &runningFingerprints,
                                              Time now);
    /// Records the death for all of the fingerprints.
    std::vector<QuarantineStart> recordDeaths(const EndpointId &endpoint,
                                              const std::vector<std::uint64_t> &fingerprints,
                                              Time now);

    std::vector<QuarantineStart> merge(const std::vector<SuspectNotice> &notices, Time now);
    std::vector<SuspectNotice> notices(Time now) const;

    /// Fingerprints with deaths.
    std::vector<std::uint64_t> suspects() const;
    /// Endpoints that died while running the fingerprint, in the order in which this became known.
    std::vector<EndpointId> deathsOf(std::uint64_t fingerprint) const;
    std::size_t deathCount(std::uint64_t fingerprint) const;
    /// Time of the last death, or the epoch if none is known.
    Time lastDeath(std::uint64_t fingerprint) const;
    std::size_t maxDeaths() const
    {
        return options_.maxDeaths;
    }
    void expire(Time now);
    nlohmann::json dump(Time now) const;

private:
    struct Suspect
    {
        std::vector<EndpointId> deaths;
        Time lastDeath{};
        /// The last death was seen here and not reported by another instance.
        bool sawLastDeath = false;
        Time clearedAt{};
        /// How often an endpoint died after the limit was reached.
        int repeatQuarantines = 0;
        int running = 0;
    };

    /// Returns true if the fingerprint reached the number of deaths for a quarantine.
    bool recordDeath(std::uint64_t fingerprint, const EndpointId &endpoint, Time now);
    bool reachedDeathLimit(const Suspect &suspect) const;
    Time quarantinedUntil(const Suspect &suspect) const;

    QuarantineOptions options_;
    std::unordered_map<std::uint64_t, Suspect> suspects_;
};

} // namespace LaburnumChute::Decisions
