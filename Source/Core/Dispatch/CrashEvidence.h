#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Decisions/Decisions.h"
#include "Dispatch/EndpointRuns.h"
#include "Dispatch/SuspectKey.h"

namespace LaburnumChute::Dispatch {

/// Time within which a crash is noticed: the record of a silent endpoint expires after three of its
/// heartbeat intervals, and lists of the store are a second old at most.
inline constexpr seconds ConfirmationTime{6};

/// A run of an endpoint under which an attempt broke off.
struct CrashRecord
{
    RunId run = 0;
    Time at{};
    /// The attempt was one of this instance.
    bool own = false;
};

enum class SuspectState {
    /// Nothing counts against it.
    Clear,
    /// Its requests run one at a time.
    Suspected,
    /// Its requests are rejected until it is known whether the endpoints have ended.
    Held,
    /// Its requests are rejected, since endpoints crashed under it.
    Quarantined,
};

/// How many of the instances of the deployment this one hears from.
enum class Hearing {
    All,
    /// Too few to add up what each of them sees of requests that are spread over all instances.
    Some,
    None,
};

/// What is known against a key.
struct Judgement
{
    /// Runs that ended and that nothing else accounts for.
    std::size_t ended = 0;
    /// The same for runs that are not known to have ended.
    std::size_t open = 0;
    /// When the last attempt on an open run broke off.
    Time lastOpen{};

    std::size_t total() const
    {
        return ended + open;
    }
};

/// Evidence that requests with some key crash endpoints, and the verdict on each key.
///
/// Load pattern: each crash of an endpoint breaks off dozens of requests with several keys each,
/// and all but one of the keys are bystanders. The key that causes crashes is on all of them, with
/// ever other bystanders. Two crashes are enough for a whole request. A key that unlike requests
/// share needs two crashes that its more specific keys do not account for: a request that crashes
/// endpoints says nothing about others with the same content, nor do two later parts of prompts
/// about those with the same first part. A crash under a key that is rejected does not count
/// against keys with fewer crashes.
///
/// Bounded in memory: the suspects with a single crash are dropped first.
class CrashEvidence
{
public:
    explicit CrashEvidence(const Decisions::QuarantineOptions &options);

    /// Adds a crash, or an attempt that broke off on a run that may have ended.
    /// @return false if there is no memory left for it
    bool add(const SuspectKey &key, const CrashRecord &crash);
    /// Narrows the parts that all requests with the key which broke off had in common.
    void narrowCompanions(const SuspectKey &key, const std::vector<SuspectKey> &others);
    void setEndpoint(RunId run, const EndpointId &endpoint);
    /// The run has ended.
    /// @return requests on it that are less suspected than others, and not charged
    std::vector<SuspectKey> confirm(RunId run, Time at);
    /// Removes all evidence of the run, and returns whom it was against.
    std::vector<SuspectKey> erase(RunId run);
    void forget(const SuspectKey &key);
    /// Removes old suspects.
    void expire(Time now);

    /// Attempts of this instance that broke off do not count while its paths may be lost.
    void setPathsDoubtful(bool doubtful);
    /// Instances that do not hear from each other have to see all crashes themselves, so one crash
    /// less is enough for them.
    void setHearing(Hearing hearing);

    /// @param retry the request was sent before and broke off, so its caller waits for it
    SuspectState state(const SuspectKey &key, bool retry, Time now) const;
    /// Time until a rejected key may be tried again.
    Duration rejectedFor(const SuspectKey &key, Time now) const;
    Judgement judgement(const SuspectKey &key) const;
    bool isRejected(const SuspectKey &key, Time now) const
    {
        return state(key, false, now) >= SuspectState::Held;
    }
    /// Parts of prompts that all requests with the key which broke off had in common. A request
    /// without one of them tells which of the two is the cause.
    const std::vector<SuspectKey> &companions(const SuspectKey &key) const;
    /// Keys that unlike requests share, and that were in a crash together with this one.
    std::set<SuspectKey> sharedNeighbors(const SuspectKey &key) const;
    bool has(const SuspectKey &key) const
    {
        return suspects_.count(key) > 0;
    }
    std::vector<SuspectKey> suspects() const;
    const std::vector<CrashRecord> &crashesOf(const SuspectKey &key) const;
    Time lastCrash(const SuspectKey &key) const;
    /// Whether an attempt of this instance counts at present.
    bool counts(const CrashRecord &crash) const;

    // Runs under which attempts broke off.

    std::vector<SuspectKey> keysOn(RunId run) const;
    /// Whether there are runs that are not known to have ended.
    bool hasOpenRuns() const
    {
        return !open_.empty();
    }
    const std::set<RunId> &openRuns() const
    {
        return open_;
    }
    struct Run
    {
        /// Known if an attempt of this instance broke off.
        EndpointId endpoint;
        bool listed = false;
        Time firstAt{};
        Time lastAt{};
        std::optional<Time> endedAt;
        std::set<SuspectKey> keys;
        /// Those with several crashes.
        std::set<SuspectKey> recurring;
        /// Position of the last part among the keys.
        std::uint16_t lastPosition = 0;
    };
    const Run *run(RunId run) const;
    void setListed(RunId run);

    nlohmann::json dump(Time now) const;

private:
    using Crashes = std::vector<const CrashRecord *>;

    struct Suspect
    {
        std::vector<CrashRecord> crashes;
        Time lastCrash{};
        /// The last crash was seen here and not reported by another instance.
        bool sawLastCrash = false;
        /// Crashes after the end of a quarantine.
        int repeats = 0;
        /// Not known before the first request.
        std::optional<std::vector<SuspectKey>> companions;
        // The last judgement, and the state of the evidence that it was made on.
        mutable Judgement judgement;
        mutable std::uint64_t judgedAt = 0;
    };

    const Suspect *find(const SuspectKey &key) const;
    bool makeRoom(const SuspectKey &key, RunId run);
    void dropWeakSuspects();
    void eraseCrash(const SuspectKey &key, RunId run);
    Judgement judge(const SuspectKey &key, const Suspect &suspect) const;
    /// Another key accounts for the crash.
    bool isRelieved(const Suspect &suspect, RunId run) const;
    /// Removes the crashes that the most frequent request and the two most frequent more specific
    /// parts account for.
    void setAside(const SuspectKey &key, Crashes &crashes) const;
    /// Removes the crashes under the most frequent more specific key of one sort.
    /// @return there was a key with several crashes
    bool setAsideMostFrequent(const SuspectKey &key, bool parts, Crashes &crashes) const;
    void setAsideRequest(const SuspectKey &key, Crashes &crashes) const;
    void setAsidePart(const SuspectKey &key, Crashes &crashes) const;
    std::size_t neededCrashes(const SuspectKey &key, bool retry) const;
    Time quarantinedUntil(const SuspectKey &key, const Suspect &suspect) const;

    Decisions::QuarantineOptions options_;
    std::map<SuspectKey, Suspect> suspects_;
    std::map<RunId, Run> runs_;
    std::set<RunId> open_;
    bool pathsDoubtful_ = false;
    Hearing hearing_ = Hearing::All;
    /// Changes with the evidence.
    std::uint64_t version_ = 1;
};

} // namespace LaburnumChute::Dispatch
