#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "Decisions/Decisions.h"
#include "Dispatch/Facts.h"
#include "Dispatch/LoadReports.h"

namespace LaburnumChute::Dispatch {

/// Identifies one run of an endpoint's process: a crashed endpoint may return under its old id.
using RunId = std::uint64_t;
RunId runId(const Catalog::EndpointRecord &record);

/// Finds requests that crash endpoints, from what this instance and others see.
///
/// Load pattern: a request crashes every endpoint that runs it, and its caller repeats it at any
/// instance. Dozens of other requests break off on the endpoint at the same moment, at several
/// instances. The proof that the process has ended (a refused connection, another endpoint at its
/// address, the removal of its record) comes later, and mostly to an instance that did not run the
/// request.
///
/// So an attempt that breaks off counts against its request at once, as a break. The break is
/// refuted if the endpoint answers a request that was sent later, and becomes a death in the
/// quarantine when the endpoint is known to have ended, whoever learns it. A request whose breaks
/// and deaths together reach the number of deaths for a quarantine is held: it is rejected until
/// its breaks are refuted or expire. A request that has completed shortly before is no suspect:
/// many callers may send the same one, and some are always on an endpoint that crashes. Breaks and
/// deaths are reported to the other instances; those of a request that is held or quarantined at
/// once.
///
/// A refused connection proves that the process has ended only if this instance reaches other
/// endpoints: connections are refused and reset in the same way on a path that is lost. While
/// several endpoints have not accepted a connection since any answered, neither refusals nor breaks
/// of this instance count; they do again once an endpoint answers a later request.
class CrashAttribution
{
public:
    CrashAttribution(Decisions::Quarantine &quarantine, std::uint64_t seed);

    // Evidence of this instance.

    void broke(const EndpointId &endpoint, RunId run, std::uint64_t fingerprint, Time now);
    /// The endpoint answered a request that was sent at the given time.
    void answered(RunId run, Time sentAt);
    /// No connection was established.
    /// @param refused nothing listens at the address, as far as this instance reaches it
    void notConnected(RunId run, bool refused, Time now);
    /// The process has ended: another one has its address.
    void ended(RunId run, Time now);
    /// Sets the endpoints that are listed; a run that was listed and is not any more has ended.
    void setListed(const std::set<RunId> &runs, Time now);
    void completed(std::uint64_t fingerprint, Time now);
    /// An attempt broke off that does not count.
    void ignored(std::uint64_t fingerprint, EvidenceLoss reason);
    void expire(Time now);
    /// Whether there are breaks that are neither refuted nor confirmed.
    bool hasBreaks() const
    {
        return !runs_.empty();
    }

    // Decisions.

    /// Time for which the request is rejected; nothing if it may be sent.
    std::optional<Duration> rejectedFor(std::uint64_t fingerprint, Time now) const;
    /// False while another attempt of a suspected request runs here, so that its copies do not
    /// crash several endpoints before the first crash is noticed.
    bool mayStart(std::uint64_t fingerprint) const;
    /// Returns true if the attempt was counted; only then must stopped() follow.
    bool started(std::uint64_t fingerprint);
    void stopped(std::uint64_t fingerprint);

    // Messages.

    /// Suspects for the periodic reports: the recent ones, and some of those in quarantine, so that
    /// instances that have just started learn of all of them within seconds.
    std::vector<SuspectReport> reports(Time now);
    /// Suspects that have been held or quarantined here since the last call.
    std::vector<SuspectReport> takeNotices(Time now);
    void merge(const std::vector<SuspectReport> &reports, Time now);
    /// What became known since the last call.
    std::vector<CrashEvent> takeEvents();

private:
    struct Break
    {
        Time at{};
        /// The attempt was one of this instance.
        bool own = false;
    };
    struct Run
    {
        /// Known if an attempt of this instance broke off.
        EndpointId endpoint;
        bool listed = false;
        std::map<std::uint64_t, Break> breaks;
    };

    struct Unconnected
    {
        Time at{};
        /// The connection was refused, and that has not counted yet.
        bool refused = false;
    };

    void addBreak(RunId run, std::uint64_t fingerprint, const Break &added, Time now);
    /// An endpoint answered a request sent at the given time, so the paths worked then.
    void confirmRefusals(RunId answered, Time sentAt);
    bool pathsDoubtful() const;
    void clear(std::uint64_t fingerprint, EvidenceLoss reason, Time now);
    void eraseBreaks(RunId run);
    void lose(EvidenceLoss reason, std::vector<std::uint64_t> fingerprints);
    std::vector<std::uint64_t> suspectsOn(RunId run) const;
    void forget(Time now);
    /// Breaks that count against the request.
    std::size_t breakCount(std::uint64_t fingerprint) const;
    /// Breaks and deaths together.
    std::size_t evidence(std::uint64_t fingerprint) const;
    bool held(std::uint64_t fingerprint) const;
    bool completedRecently(std::uint64_t fingerprint, Time now) const;
    Time lastBreak(std::uint64_t fingerprint) const;
    void recordStarts(const std::vector<Decisions::QuarantineStart> &starts, bool reportedByPeer);
    void mergeBreaks(const SuspectReport &report, Time now);
    SuspectReport reportOf(std::uint64_t fingerprint, bool includeOthers, Time now) const;

    Decisions::Quarantine *quarantine_;
    std::mt19937_64 random_;
    std::map<RunId, Run> runs_;
    /// Runs on which attempts of a fingerprint broke off; never empty.
    std::unordered_map<std::uint64_t, std::set<RunId>> runsOf_;
    std::unordered_map<RunId, Time> endedAt_;
    /// Runs that have not accepted a connection since another one answered.
    std::map<RunId, Unconnected> unconnected_;
    /// Latest send time of a request that was answered.
    std::unordered_map<RunId, Time> answeredAt_;
    std::unordered_map<std::uint64_t, Time> completedAt_;
    /// When another instance suspected a request that completes here.
    std::unordered_map<std::uint64_t, Time> vindicatedAt_;
    std::unordered_map<std::uint64_t, int> running_;
    Time forgottenAt_{};
    std::set<std::uint64_t> unannounced_;
    std::vector<CrashEvent> events_;
};

} // namespace LaburnumChute::Dispatch
