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

/// Who is in the region and in which state: a table of claims, of which for each member the one
/// with the highest incarnation, then counter, then health counts. It also keeps the claims that
/// are yet to be spread.
///
/// A member that was paused comes back: it hears that it is suspected or dead and answers with a
/// higher counter, which only it may raise. Without the counter the region would have to choose
/// between never believing a death and never taking a member back.
class Membership
{
public:
    Membership(const ClusterOptions &options, MemberInfo self);

    /// Takes a claim in. Claims about this instance are answered, not believed.
    void apply(const MemberUpdate &update, Common::Time now, Effects &effects);
    /// The probes of this instance found no answer from the member.
    void suspect(const Common::InstanceId &id, Common::Time now, Effects &effects);
    /// Declares members dead whose suspicion ran out, and forgets old ones.
    void tick(Common::Time now, Effects &effects);
    /// This process was paused: what it did not hear meanwhile says nothing about the others, so
    /// that all suspicions begin anew. Without this an observer that wakes declares dead whom it
    /// suspected before, though their refutation waits unread in its socket.
    void restartSuspicions(Common::Time now);
    /// Moves the deadlines of suspicions, after a gap too short to be called a pause.
    void postponeSuspicions(Common::Duration gap);
    void startLeaving();
    /// Members that the platform's list calls leaving. The list lags: its word counts for as long
    /// as it stands, is not passed on, and does not hold for an incarnation that replaces the one
    /// it was said of. Otherwise the replacement of a leaving instance would get no work for its
    /// whole life.
    void setListedLeaving(const std::set<Common::InstanceId> &listed, Effects &effects);
    /// Claims to send along, the least spread first, up to a size.
    std::vector<MemberUpdate> takeUpdates(std::size_t maxBytes);

    const MemberInfo &self() const
    {
        return self_;
    }
    bool leaving() const
    {
        return leaving_;
    }
    /// How often this instance had to refute a suspicion.
    std::uint32_t refutations() const
    {
        return refutations_;
    }
    /// What the senders of outdated suspicions and deaths should know, since the last call. A
    /// member whose refutation missed one observer is suspected there until the suspicion ends; all
    /// others know better, and without this none of them would say so.
    std::vector<MemberUpdate> takeCorrections()
    {
        return std::exchange(corrections_, {});
    }
    /// The incarnation that replaced this instance, if it met one.
    std::optional<Common::Incarnation> supersededBy() const
    {
        return supersededBy_;
    }
    /// Grows with every change of anyone's state, so that others can keep what they derived.
    std::uint64_t changes() const
    {
        return changes_;
    }
    MemberUpdate selfUpdate(bool withInfo) const;
    /// What is believed of the member; nothing if it is not known.
    std::optional<MemberUpdate> update(const Common::InstanceId &id, bool withInfo) const;
    std::vector<MemberUpdate> allUpdates() const;
    std::optional<MemberView> view(const Common::InstanceId &id) const;
    std::vector<MemberView> views() const;
    /// Members that answer as far as is known, this instance not among them; leaving ones are.
    std::vector<Common::InstanceId> peers() const;
    /// Members that take work, this instance among them unless it leaves. In the order of names.
    std::vector<Common::InstanceId> eligible() const;
    /// Members held to be dead.
    std::vector<Common::InstanceId> dead() const;
    /// Equal on two instances that hold the same members, in the same lives, to live or leave.
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
