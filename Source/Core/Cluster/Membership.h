#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "Cluster/Effects.h"
#include "Cluster/Messages.h"
#include "Cluster/Options.h"

namespace LaburnumChute::Cluster {

/// The members of the region and their states. For each member, the update with the highest
/// incarnation, then counter, then health takes precedence. The class also queues the updates that
/// are yet to be disseminated.
///
/// A paused member can return: it learns that it is suspected or declared dead and refutes this
/// with a higher counter, which only the member itself may raise. Without the counter, an update
/// that declares a member dead could either never take effect or never be reversed.
class Membership
{
public:
    Membership(const ClusterOptions &options, MemberInfo self);

    /// Applies an update. Suspicions of this instance and claims of its death are refuted instead.
    void apply(const MemberUpdate &update, Common::Time now, Effects &effects);
    /// This instance's probes of the member were not answered.
    void suspect(const Common::InstanceId &id, Common::Time now, Effects &effects);
    /// Declares members dead whose suspicion timed out, and removes members that have been dead for
    /// long.
    void tick(Common::Time now, Effects &effects);
    /// Restarts all suspicion timeouts after this process was paused, since missing messages in
    /// that time are no evidence against the other members. Otherwise a resumed observer would
    /// declare members dead whose refutation is still unread in its socket.
    void restartSuspicions(Common::Time now);
    /// Postpones the suspicion timeouts after a gap that is too short to count as a pause.
    void postponeSuspicions(Common::Duration gap);
    void startLeaving();
    /// Sets the members that the platform's list marks as leaving. The list lags behind, so the
    /// mark applies only while it is listed, is not disseminated, and does not apply to a later
    /// incarnation. Otherwise the replacement of a leaving instance would never get any work.
    void setListedLeaving(const std::set<Common::InstanceId> &listed, Effects &effects);
    /// Returns updates to piggyback on a message, the least transmitted first, up to a size.
    std::vector<MemberUpdate> takeUpdates(std::size_t maxBytes);

    const MemberInfo &self() const
    {
        return self_;
    }
    bool leaving() const
    {
        return leaving_;
    }
    /// Number of suspicions that this instance refuted.
    std::uint32_t refutations() const
    {
        return refutations_;
    }
    /// Returns the corrections for senders of outdated suspicions and deaths since the last call.
    /// If a refutation does not reach one observer, that observer keeps suspecting the member until
    /// it declares it dead; the other members have already seen the refutation and would otherwise
    /// not repeat it.
    std::vector<MemberUpdate> takeCorrections()
    {
        return std::exchange(corrections_, {});
    }
    /// The incarnation that replaced this instance, if one was seen.
    std::optional<Common::Incarnation> supersededBy() const
    {
        return supersededBy_;
    }
    /// Incremented with every change of a member's state, so that derived values can be cached.
    std::uint64_t changes() const
    {
        return changes_;
    }
    MemberUpdate selfUpdate(bool withInfo) const;
    /// The current state of the member as an update; nothing if it is not known.
    std::optional<MemberUpdate> currentUpdate(const Common::InstanceId &id, bool withInfo) const;
    std::vector<MemberUpdate> allUpdates() const;
    std::optional<MemberView> view(const Common::InstanceId &id) const;
    std::vector<MemberView> views() const;
    /// Members that are not dead, including leaving ones but not this instance.
    std::vector<Common::InstanceId> peers() const;
    /// Members that accept new work, including this instance unless it leaves; sorted by id.
    std::vector<Common::InstanceId> eligible() const;
    /// Members that are declared dead.
    std::vector<Common::InstanceId> dead() const;
    /// Equal on two instances that have the same members with the same incarnations and leaving
    /// flags.
    std::uint64_t hash() const;

private:
    struct Record
    {
        MemberInfo info;
        std::uint32_t counter = 0;
        Health health = Health::Alive;
        bool leaving = false;
        bool listedLeaving = false;
        Common::Time changed;
        Common::Time suspicionEnds;
    };
    struct PendingUpdate
    {
        std::size_t sent = 0;
        bool withInfo = false;
    };

    void applyToSelf(const MemberUpdate &update, Effects &effects);
    void applyToRecord(Record &record, const MemberUpdate &update, Common::Time now,
                       Effects &effects);
    void add(const MemberUpdate &update, Common::Time now, Effects &effects);
    void setHealth(Record &record, Health health, Common::Time now);
    void enqueueUpdate(const Common::InstanceId &id, bool withInfo);
    std::size_t transmitLimit() const;
    Common::Duration suspicionTime() const;
    static MemberUpdate updateOf(const Record &record, bool withInfo);
    static MemberView viewOf(const Record &record);

    ClusterOptions options_;
    MemberInfo self_;
    std::uint32_t counter_ = 0;
    bool leaving_ = false;
    std::uint64_t changes_ = 0;
    std::uint32_t refutations_ = 0;
    std::vector<MemberUpdate> corrections_;
    std::optional<Common::Incarnation> supersededBy_;
    std::map<Common::InstanceId, Record> records_;
    std::set<Common::InstanceId> listedLeaving_;
    std::map<Common::InstanceId, PendingUpdate> pendingUpdates_;
};

} // namespace LaburnumChute::Cluster
