#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "Decisions/Facts.h"
#include "Decisions/Options.h"

namespace LaburnumChute::Decisions {

/// One waiting request.
struct Waiting
{
    RequestId id;
    CustomerName customer;
    int priority = 0;
    Time enqueuedAt{};
    std::optional<Time> deadline;
    /// Time until the first token on an idle endpoint.
    Duration firstTokenWork{0};
    /// Whole work in decode tokens.
    double workTokens = 0;
    std::uint64_t fingerprint = 0;
};

/// The requests of one target that wait in this instance.
///
/// Load pattern: a burst or a loss of capacity while most callers leave early. Requests wait here
/// and not on the endpoints, since here the order is ours and a cancelled request costs nothing.
/// In the order of arrival an overloaded queue serves those who have waited longest, whose callers
/// are the most likely to have left or to leave before the first token: all wait for long and the
/// work is wasted. So while the oldest has waited for overloadInterval, the newest is served first
/// (adaptive LIFO; Maurer, "Fail at Scale", ACM Queue 2015). Otherwise a request counts as older
/// the less work it is until its first token, so that short lines are not stuck behind long
/// histories. Between priorities the higher goes first; between customers of one priority those
/// that used less than their share.
/// Bound on starvation: each oldestEvery-th turn goes to the oldest of the priority whose turn it
/// is. The oldest of the lowest waiting priority is served once the others got lowerPriorityRatio
/// times its work since the lowest was last served. So with n older ones of its priority, all of
/// work w, a request of the lowest priority sees at most lowerPriorityRatio * w * (n + 1) of other
/// work go by, and one of the highest at most oldestEvery * (n + 2) turns. The ratio counts work:
/// counted in turns, one in ten of a history with ten times a line's work took half of the engines.
class WaitQueue
{
public:
    /// True for a customer that has used more than its share.
    using OverShare = std::function<bool(const CustomerName &)>;

    explicit WaitQueue(const QueueOptions &options);

    void push(Waiting waiting);
    /// Takes it out, wherever it stands.
    std::optional<Waiting> remove(const RequestId &id);
    /// The one whose turn it is, and after it, should it find no place, the first of each other
    /// priority.
    std::vector<RequestId> next(Time now, const OverShare &overShare) const;
    /// One of next() is about to be served and removed: the turn passes on.
    void turnTaken(const RequestId &id);

    /// Those whose deadline is not after `time`.
    std::vector<RequestId> expired(Time time) const;
    std::optional<Time> firstDeadline() const;
    /// The oldest requests, at most `count`.
    std::vector<RequestId> oldest(std::size_t count) const;
    bool overloaded(Time now) const;
    std::size_t size() const
    {
        return waiting_.size();
    }
    bool empty() const
    {
        return waiting_.empty();
    }

private:
    /// Sort key and a serial number that keeps equal keys apart and in order.
    struct Key
    {
        Time time{};
        std::uint64_t serial = 0;
        bool operator==(const Key &) const = default;
        friend bool operator<(const Key &one, const Key &other)
        {
            return std::tie(one.time, one.serial) < std::tie(other.time, other.serial);
        }
    };
    struct Entry
    {
        Waiting waiting;
        Key age;
        Key order;
    };
    struct Lane
    {
        std::map<Key, const Entry *> byAge;
        std::map<Key, const Entry *> byOrder;
    };
    using Level = std::map<CustomerName, Lane>;

    Time orderTime(const Waiting &waiting) const;
    bool newestFirst(Time now) const;
    bool lowestIsDue() const;
    static const Entry *oldestOf(const Level &level);
    const Entry *firstOf(const Level &level, bool newest, const OverShare &overShare) const;

    QueueOptions options_;
    std::uint64_t serial_ = 0;
    std::uint64_t turns_ = 0;
    /// Work served to others since the oldest of the lowest priority was served.
    double workOfOthers_ = 0;
    std::unordered_map<RequestId, Entry> waiting_;
    std::map<int, Level> levels_;
    std::map<Key, const Entry *> byAge_;
    std::set<std::pair<Time, RequestId>> byDeadline_;
};

} // namespace LaburnumChute::Decisions
