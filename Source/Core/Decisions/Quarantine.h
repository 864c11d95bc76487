#pragma once

#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "Decisions/Facts.h"
#include "Decisions/Options.h"

namespace LaburnumChute::Decisions {

enum class Verdict {
    Clear,
    /// Was on an endpoint that died: runs apart from other suspects, one try at a time.
    Suspect,
    Quarantined,
};

/// Keeps a request that kills its endpoint from taking down one endpoint after the other.
///
/// Load pattern: one request crashes whatever runs it and its caller sends it again. Without a
/// bound a few minutes of resending empty a region of 12 endpoints.
/// The death of an endpoint makes every fingerprint on it a suspect. Suspects never share an
/// endpoint, so that a second death names one of them. A death with a suspect on board is charged
/// to the most suspected alone: an innocent neighbour gets no mark from it. A fingerprint that was
/// on maxDeaths distinct endpoints as they died is quarantined. Deaths of one and the same endpoint
/// count once: that endpoint is faulty, not the request. The way back: a suspect that completes is
/// cleared; a quarantined one may be tried once after its time, on an endpoint apart.
/// The bound holds for deaths that are known here; deaths reach other instances with
/// suspectNotices.
class Quarantine
{
public:
    explicit Quarantine(const QuarantineOptions &options);

    Verdict verdict(std::uint64_t fingerprint, Time now) const;
    /// False while another try of this suspect runs, or while it is quarantined.
    bool mayStart(std::uint64_t fingerprint, Time now) const;
    /// True when this endpoint died with the fingerprint on it: a next try belongs elsewhere, so
    /// that a faulty endpoint and a dangerous request can be told apart.
    bool diedOn(std::uint64_t fingerprint, const EndpointId &endpoint) const;
    /// When a quarantined or busy suspect may be tried again.
    Duration retryAfter(std::uint64_t fingerprint, Time now) const;

    /// True when the try was counted as one of a suspect; only then stopped() must follow.
    bool started(std::uint64_t fingerprint);
    void stopped(std::uint64_t fingerprint);
    void completed(std::uint64_t fingerprint, Time now);
    /// @param onBoard the fingerprints of all requests on the endpoint as it died
    void endpointDied(const EndpointId &endpoint, const std::vector<std::uint64_t> &onBoard,
                      Time now);

    void merge(const std::vector<SuspectNotice> &notices, Time now);
    std::vector<SuspectNotice> notices(Time now) const;
    void expire(Time now);
    nlohmann::json dump(Time now) const;

private:
    struct Suspect
    {
        std::vector<EndpointId> deaths;
        Time lastDeath{};
        Time clearedAt{};
        /// How often it came back from quarantine.
        int returns = 0;
        int running = 0;
    };

    void charge(std::uint64_t fingerprint, const EndpointId &endpoint, Time now);
    bool condemned(const Suspect &suspect) const;
    Time quarantinedUntil(const Suspect &suspect) const;

    QuarantineOptions options_;
    std::unordered_map<std::uint64_t, Suspect> suspects_;
};

} // namespace LaburnumChute::Decisions
