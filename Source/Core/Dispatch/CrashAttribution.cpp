#include "Dispatch/CrashAttribution.h"

#include <algorithm>
#include <utility>

namespace LaburnumChute::Dispatch {

namespace {

/// By then the list of this instance has each endpoint that another instance has used.
constexpr seconds ListingDelay{3};

} // namespace

std::string_view toString(EvidenceLoss reason)
{
    switch (reason) {
    case EvidenceLoss::Completed:
        return "completed";
    case EvidenceLoss::CompletedAtPeer:
        return "completed at peer";
    case EvidenceLoss::CompletedBefore:
        return "completed before";
    case EvidenceLoss::EndpointAnswered:
        return "endpoint answered";
    case EvidenceLoss::Unconfirmed:
        return "unconfirmed";
    case EvidenceLoss::PutDownToOther:
        return "put down to another request";
    case EvidenceLoss::EndpointLeft:
        return "endpoint left";
    case EvidenceLoss::PathsDoubtful:
        return "paths doubtful";
    case EvidenceLoss::NoMemory:
        return "no memory";
    }
    return "unknown";
}

CrashAttribution::CrashAttribution(const Decisions::QuarantineOptions &options, std::uint64_t seed)
    : evidence_(options)
    , random_(seed)
{
}

// Evidence of this instance.

void CrashAttribution::broke(const EndpointId &endpoint, RunId run,
                             const std::vector<SuspectKey> &keys, Time now)
{
    if (runs_.pathsDoubtful()) {
        lose(EvidenceLoss::PathsDoubtful, keys);
    }
    for (const auto &key : keys) {
        addCrash(key, {run, now, true}, now);
        evidence_.narrowCompanions(key, keys);
    }
    evidence_.setEndpoint(run, endpoint);
    if (runs_.endedAt(run)) {
        record({{run, now}}, now);
    }
    for (const auto &key : keys) {
        review(key, false, now);
    }
}

void CrashAttribution::addCrash(const SuspectKey &key, const CrashRecord &crash, Time now)
{
    if (sound_.lastServed(key, now)) {
        lose(EvidenceLoss::CompletedBefore, {key});
    } else if (!evidence_.add(key, crash)) {
        lose(EvidenceLoss::NoMemory, {key});
    }
}

void CrashAttribution::lose(EvidenceLoss reason, std::vector<SuspectKey> keys)
{
    if (!keys.empty()) {
        events_.push_back(EvidenceLost{reason, std::move(keys)});
    }
}

void CrashAttribution::ignored(const std::vector<SuspectKey> &keys, EvidenceLoss reason)
{
    lose(reason, keys);
}

void CrashAttribution::updateDoubts()
{
    evidence_.setPathsDoubtful(runs_.pathsDoubtful());
}

void CrashAttribution::notConnected(RunId run, bool refused, Time now)
{
    const auto ends = runs_.notConnected(run, refused, now);
    updateDoubts();
    record(ends, now);
}

void CrashAttribution::answered(RunId run, Time sentAt)
{
    const auto ends = runs_.answered(run, sentAt);
    updateDoubts();
    record(ends, sentAt);
    const auto *known = evidence_.run(run);
    if (known != nullptr && known->lastAt < sentAt) {
        lose(EvidenceLoss::EndpointAnswered, evidence_.erase(run));
    }
}

void CrashAttribution::ended(RunId run, Time now)
{
    record({{run, now}}, now);
}

void CrashAttribution::record(const EndpointRuns::Ends &ends, Time now)
{
    for (const auto &[run, at] : ends) {
        runs_.ended(run, at);
        const auto *known = evidence_.run(run);
        if (known == nullptr || known->endedAt) {
            continue;
        }
        const auto endpoint = known->endpoint;
        lose(EvidenceLoss::PutDownToOther, evidence_.confirm(run, at));
        EndpointCrash crash{endpoint, {}};
        bool own = false;
        for (const auto &key : evidence_.keysOn(run)) {
            const auto &crashes = evidence_.crashesOf(key);
            own = own || std::any_of(crashes.begin(), crashes.end(), [&run = run](const auto &one) {
                      return one.run == run && one.own;
                  });
            crash.suspects.push_back(key);
        }
        for (const auto &key : crash.suspects) {
            review(key, !own, now);
        }
        if (own) {
            events_.push_back(std::move(crash));
        }
    }
}

void CrashAttribution::setListed(const std::set<RunId> &runs, Time now)
{
    if (runs.empty()) {
        return;
    }
    EndpointRuns::Ends gone;
    for (const auto run : evidence_.openRuns()) {
        const auto *known = evidence_.run(run);
        if (runs.count(run) > 0) {
            evidence_.setListed(run);
        } else if (known->listed || now - known->firstAt >= ListingDelay) {
            gone.emplace_back(run, now);
        }
    }
    record(gone, now);
}

void CrashAttribution::served(const std::vector<SuspectKey> &keys, Time now)
{
    for (const auto &key : keys) {
        acquit(key, EvidenceLoss::Completed, now);
    }
}

void CrashAttribution::acquit(const SuspectKey &key, EvidenceLoss reason, Time servedAt)
{
    sound_.add(key, servedAt);
    rejected_.erase(key);
    if (!evidence_.has(key)) {
        return;
    }
    // What it is cleared of is put down to the others.
    const auto neighbors = evidence_.sharedNeighbors(key);
    lose(reason, {key});
    evidence_.forget(key);
    for (const auto &neighbor : neighbors) {
        review(neighbor, reason == EvidenceLoss::CompletedAtPeer, servedAt);
    }
}

void CrashAttribution::expire(Time now)
{
    std::vector<RunId> unconfirmed;
    for (const auto run : evidence_.openRuns()) {
        if (now - evidence_.run(run)->lastAt > ConfirmationTime) {
            unconfirmed.push_back(run);
        }
    }
    for (const auto run : unconfirmed) {
        lose(EvidenceLoss::Unconfirmed, evidence_.erase(run));
    }
    runs_.expire(now);
    updateDoubts();
    evidence_.expire(now);
    std::erase_if(vindicatedAt_,
                  [now](const auto &item) { return now - item.second > SuspectRepeatTime; });
    std::erase_if(rejected_,
                  [&](const auto &item) { return !evidence_.isRejected(item.first, now); });
}

void CrashAttribution::review(const SuspectKey &key, bool reportedByPeer, Time now)
{
    const auto state = evidence_.state(key, false, now);
    if (state < SuspectState::Held) {
        return;
    }
    const auto [known, isNew] = rejected_.try_emplace(key, state);
    if (!isNew && known->second >= state) {
        return;
    }
    known->second = state;
    const auto judgement = evidence_.judgement(key);
    if (state == SuspectState::Held) {
        events_.push_back(SuspectHold{key, judgement.open, judgement.ended, reportedByPeer});
    } else {
        events_.push_back(SuspectQuarantine{key, judgement.ended, reportedByPeer});
    }
    if (!reportedByPeer) {
        unannounced_.insert(key);
    }
}

// Decisions.

std::optional<SuspectRejection> CrashAttribution::rejection(const std::vector<SuspectKey> &keys,
                                                            bool retry, Time now) const
{
    std::optional<SuspectRejection> longest;
    for (const auto &key : keys) {
        if (evidence_.state(key, retry, now) < SuspectState::Held || isTrial(key, keys)) {
            continue;
        }
        const auto retryAfter = evidence_.rejectedFor(key, now);
        if (!longest || retryAfter > longest->retryAfter) {
            longest = SuspectRejection{key, retryAfter};
        }
    }
    return longest;
}

/// Load pattern: prompts with a part that crashes endpoints have another part in common with sound
/// ones, and all processes have just started, so that nothing tells the two parts apart.
bool CrashAttribution::isTrial(const SuspectKey &key, const std::vector<SuspectKey> &keys) const
{
    const auto &companions = evidence_.companions(key);
    return std::any_of(companions.begin(), companions.end(), [&](const auto &companion) {
        return evidence_.has(companion)
               && std::find(keys.begin(), keys.end(), companion) == keys.end();
    });
}

bool CrashAttribution::mayStart(const std::vector<SuspectKey> &keys, Time now) const
{
    return std::none_of(keys.begin(), keys.end(), [&](const auto &key) {
        const auto found = running_.find(key);
        return found != running_.end() && found->second > 0
               && evidence_.state(key, true, now) != SuspectState::Clear;
    });
}

std::vector<SuspectKey> CrashAttribution::started(const std::vector<SuspectKey> &keys, Time now)
{
    std::vector<SuspectKey> suspected;
    std::copy_if(keys.begin(), keys.end(), std::back_inserter(suspected), [&](const auto &key) {
        return evidence_.state(key, true, now) != SuspectState::Clear;
    });
    for (const auto &key : suspected) {
        ++running_[key];
    }
    return suspected;
}

void CrashAttribution::stopped(const std::vector<SuspectKey> &keys)
{
    for (const auto &key : keys) {
        const auto found = running_.find(key);
        if (found != running_.end() && --found->second <= 0) {
            running_.erase(found);
        }
    }
}

std::vector<CrashEvent> CrashAttribution::takeEvents()
{
    return std::exchange(events_, {});
}

} // namespace LaburnumChute::Dispatch
