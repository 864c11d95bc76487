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

/// A request in the queue.
struct QueuedRequest
{
    RequestId id;
    CustomerName customer;
    int priority = 0;
    Time enqueuedAt{};
    std::optional<Time> deadline;
    /// Time to first token on an idle endpoint.
    Duration firstTokenWork{0};
    /// Total work in decode tokens.
    double workTokens = 0;
    std::uint64_t fingerprint = 0;
};

/// The queue of requests for one target in this instance.
///
/// Load pattern: a burst or a loss of capacity while most callers leave early. Requests are queued
/// here and not on the endpoints, since here their order can be chosen and a cancelled request
/// costs nothing. An overloaded FIFO queue serves those who have waited longest, whose callers are
/// the most likely to have left or to leave before the first token: everybody waits for long and
/// the work is wasted. AdaptiveLifoOrder therefore serves the newest first while the oldest has
/// waited for overloadInterval (adaptive LIFO; Maurer, "Fail at Scale", ACM Queue 2015). With
/// AgedWorkOrder a request counts as older the less work it is until its first token, so that short
/// prompts are not stuck behind long ones. Higher priorities go first; within a priority, customers
/// below their fair share go first.
/// Bound on starvation: every oldestTurnInterval-th turn goes to the oldest request of the priority
/// whose turn it is. The oldest request of the lowest queued priority is served once the others got
/// lowerPriorityRatio times its work since that priority's oldest was last served. With n older
/// requests of its priority, all of work w, a request of the lowest priority waits for at most
/// lowerPriorityRatio * w * (n + 1) of other work, and one of the highest for at most
/// oldestTurnInterval * (n + 2) turns. The ratio counts work and not turns, since prompts of
/// low priority may be many times as large as others.
class WaitQueue
{
public:
    /// Whether a customer has used more than its fair share.
    using ExceedsFairShare = std::function<bool(const CustomerName &)>;

    explicit WaitQueue(const QueueOptions &options);

    void push(QueuedRequest waiting);
    /// Removes a request from any position.
    std::optional<QueuedRequest> remove(const RequestId &id);
    /// The request whose turn it is, followed by the first request of each other priority in case
    /// it cannot be placed.
    std::vector<RequestId> next(Time now, const ExceedsFairShare &exceedsFairShare) const;
    /// Records that a request returned by next() is about to be served and removed.
    void recordServed(const RequestId &id);

    /// Requests whose deadline is at or before `time`.
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
    /// Sort key; the serial number keeps equal times distinct and in order.
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
        QueuedRequest waiting;
        Key age;
        Key order;
    };
    struct CustomerQueue
    {
        std::map<Key, const Entry *> byAge;
        std::map<Key, const Entry *> byOrder;
    };
    using PriorityLevel = std::map<CustomerName, CustomerQueue>;

    Time orderTime(const QueuedRequest &waiting) const;
    bool newestFirst(Time now) const;
    bool lowestPriorityIsDue() const;
    static const Entry *oldestOf(const PriorityLevel &level);
    const Entry *firstInOrder(const PriorityLevel &level, bool newest,
                              const ExceedsFairShare &exceedsFairShare) const;

    QueueOptions options_;
    std::uint64_t serial_ = 0;
    std::uint64_t turns_ = 0;
    /// Work of other requests served since the oldest request of the lowest priority was served.
    double workSinceLowestServed_ = 0;
    std::unordered_map<RequestId, Entry> waiting_;
    std::map<int, PriorityLevel> levels_;
    std::map<Key, const Entry *> byAge_;
    std::set<std::pair<Time, RequestId>> byDeadline_;
};

} // namespace LaburnumChute::Decisions
