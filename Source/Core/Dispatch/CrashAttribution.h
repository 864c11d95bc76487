#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "Dispatch/CrashEvidence.h"
#include "Dispatch/LoadReports.h"
#include "Dispatch/SoundKeys.h"

namespace LaburnumChute::Dispatch {

/// For this long, evidence is repeated in every report, which tolerates the loss of many of them.
inline constexpr seconds SuspectRepeatTime{5};

/// Why a request must not be sent.
struct SuspectRejection
{
    SuspectKey key;
    Duration retryAfter{0};
};

/// Finds requests that crash endpoints, from what this instance and others see.
///
/// Load pattern: a request crashes every endpoint that runs it, and its caller repeats it at any
/// instance, with the same or another query; or one part of a prompt crashes every endpoint that
/// begins an answer, and unlike requests have it in common. Dozens of other requests break off on
/// the endpoint at the same moment, at several instances, with the same other parts. The proof that
/// the process has ended (a refused connection, another endpoint at its address, the removal of its
/// record) comes later, and mostly to an instance that did not run the request.
///
/// So an attempt that breaks off counts against the keys of its request at once. It is refuted if
/// the endpoint answers a request that was sent later, and confirmed when the endpoint is known to
/// have ended, whoever learns it. A key that endpoints have served shortly before is no suspect:
/// many callers may send the same request, and some are always on an endpoint that crashes.
/// Evidence is reported to the other instances; that on keys that are rejected at once.
class CrashAttribution
{
public:
    CrashAttribution(const Decisions::QuarantineOptions &options, std::uint64_t seed);

    // Evidence of this instance.

    void broke(const EndpointId &endpoint, RunId run, const std::vector<SuspectKey> &keys,
               Time now);
    /// The endpoint answered a request that was sent at the given time.
    void answered(RunId run, Time sentAt);
    /// No connection was established.
    /// @param refused nothing listens at the address, as far as this instance reaches it
    void notConnected(RunId run, bool refused, Time now);
    /// The process has ended: another one has its address.
    void ended(RunId run, Time now);
    /// Sets the runs of endpoints that are listed; one that is not, or not any more, has ended.
    void setListed(const std::set<RunId> &runs, Time now);
    /// An endpoint has served a request with the keys, or the answer to it goes on.
    void served(const std::vector<SuspectKey> &keys, Time now);
    /// An attempt broke off that does not count.
    void ignored(const std::vector<SuspectKey> &keys, EvidenceLoss reason);
    void expire(Time now);
    /// Whether there are runs that are not known to have ended.
    bool hasBreaks() const
    {
        return evidence_.hasOpenRuns();
    }
    void setHearing(Hearing hearing)
    {
        evidence_.setHearing(hearing);
    }

    // Decisions.

    /// Why a request is rejected; nothing if it may be sent.
    /// @param retry it was sent before and broke off
    std::optional<SuspectRejection> rejection(const std::vector<SuspectKey> &keys, bool retry,
                                              Time now) const;
    /// False while another attempt of a suspected request runs here, so that its copies do not
    /// crash several endpoints before the first crash is noticed.
    bool mayStart(const std::vector<SuspectKey> &keys, Time now) const;
    /// Returns the suspected keys; stopped() must follow with them.
    std::vector<SuspectKey> started(const std::vector<SuspectKey> &keys, Time now);
    void stopped(const std::vector<SuspectKey> &keys);

    // Messages.

    enum class Audience {
        OwnRegion,
        OtherRegions,
    };
    /// Suspects for the periodic reports: the recent ones, and some of those in quarantine, so that
    /// instances that have just started learn of all of them within seconds. An instance speaks for
    /// its region to others, and includes what its neighbors have seen.
    std::vector<SuspectReport> reports(Audience audience, Time now);
    /// Suspects that have been held or quarantined here since the last call.
    std::vector<SuspectReport> takeNotices(Time now);
    void merge(const std::vector<SuspectReport> &reports, Time now);
    /// What became known since the last call.
    std::vector<CrashEvent> takeEvents();

    nlohmann::json dump(Time now) const
    {
        return evidence_.dump(now);
    }

private:
    /// Records the ends of runs.
    void record(const EndpointRuns::Ends &ends, Time now);
    void addCrash(const SuspectKey &key, const CrashRecord &crash, Time now);
    void acquit(const SuspectKey &key, EvidenceLoss reason, Time servedAt);
    void lose(EvidenceLoss reason, std::vector<SuspectKey> keys);
    void updateDoubts();
    /// Logs the key, and announces it to the other instances, if it has begun to be rejected.
    void review(const SuspectKey &key, bool reportedByPeer, Time now);
    /// The request has a suspected part, but lacks another one that was in all of the crashes: it
    /// is sent to find out which of the two is the cause.
    bool isTrial(const SuspectKey &key, const std::vector<SuspectKey> &keys) const;
    void mergeCrashes(const SuspectReport &report, Time now);
    SuspectReport reportOf(const SuspectKey &key, bool includeOthers, Time now) const;
    std::vector<SuspectKey> recentSuspects(Time now);

    CrashEvidence evidence_;
    EndpointRuns runs_;
    SoundKeys sound_;
    std::mt19937_64 random_;
    std::map<SuspectKey, int> running_;
    /// When another instance suspected a key that is served here.
    std::map<SuspectKey, Time> vindicatedAt_;
    /// Keys that are rejected, as far as that was logged.
    std::map<SuspectKey, SuspectState> rejected_;
    std::set<SuspectKey> unannounced_;
    std::vector<CrashEvent> events_;
};

} // namespace LaburnumChute::Dispatch
