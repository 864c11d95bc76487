#include "Decisions/WaitQueue.h"

namespace LaburnumChute::Decisions {

namespace {

template <typename... Functions>
struct OverloadSet : Functions...
{
    using Functions::operator()...;
};
template <typename... Functions>
OverloadSet(Functions...) -> OverloadSet<Functions...>;

} // namespace

WaitQueue::WaitQueue(const QueueOptions &options)
    : options_(options)
{
}

Time WaitQueue::orderTime(const QueuedRequest &waiting) const
{
    const auto weighted = [&](const AgedWorkOrder &order) {
        const std::chrono::duration<double> work = waiting.firstTokenWork * order.workWeight;
        return waiting.enqueuedAt + std::chrono::duration_cast<Duration>(work);
    };
    return std::visit(OverloadSet{weighted, [&](const auto &) { return waiting.enqueuedAt; }},
                      options_.order);
}

void WaitQueue::push(QueuedRequest waiting)
{
    const RequestId id = waiting.id;
    const Key age{waiting.enqueuedAt, ++serial_};
    const Key order{orderTime(waiting), serial_};
    const auto [position, isNew] = waiting_.try_emplace(id, Entry{std::move(waiting), age, order});
    if (!isNew) {
        return;
    }
    const Entry &entry = position->second;
    auto &customerQueue = levels_[entry.waiting.priority][entry.waiting.customer];
    customerQueue.byAge[age] = &entry;
    customerQueue.byOrder[order] = &entry;
    byAge_[age] = &entry;
    if (entry.waiting.deadline) {
        byDeadline_.emplace(*entry.waiting.deadline, id);
    }
}

std::optional<QueuedRequest> WaitQueue::remove(const RequestId &id)
{
    const auto found = waiting_.find(id);
    if (found == waiting_.end()) {
        return std::nullopt;
    }
    const Entry &entry = found->second;
    const auto level = levels_.find(entry.waiting.priority);
    const auto customerQueue = level->second.find(entry.waiting.customer);
    customerQueue->second.byAge.erase(entry.age);
    customerQueue->second.byOrder.erase(entry.order);
    if (customerQueue->second.byAge.empty()) {
        level->second.erase(customerQueue);
    }
    if (level->second.empty()) {
        levels_.erase(level);
    }
    byAge_.erase(entry.age);
    if (entry.waiting.deadline) {
        byDeadline_.erase({*entry.waiting.deadline, id});
    }
    auto waiting = std::move(found->second.waiting);
    waiting_.erase(found);
    return waiting;
}

bool WaitQueue::overloaded(Time now) const
{
    return !byAge_.empty() && now - byAge_.begin()->first.time >= options_.overloadInterval;
}

bool WaitQueue::newestFirst(Time now) const
{
    return std::holds_alternative<AdaptiveLifoOrder>(options_.order) && overloaded(now);
}

const WaitQueue::Entry *WaitQueue::firstInOrder(const PriorityLevel &level, bool newest,
                                                const ExceedsFairShare &exceedsFairShare) const
{
    const Entry *best = nullptr;
    bool bestOver = false;
    const auto earlier = [newest](const Entry &one, const Entry &other) {
        return newest ? other.age < one.age : one.order < other.order;
    };
    for (const auto &[customer, customerQueue] : level) {
        const Entry *head =
            newest ? customerQueue.byAge.rbegin()->second : customerQueue.byOrder.begin()->second;
        const bool over = exceedsFairShare(customer);
        const bool better = best == nullptr || (over != bestOver ? !over : earlier(*head, *best));
        if (better) {
            best = head;
            bestOver = over;
        }
    }
    return best;
}

const WaitQueue::Entry *WaitQueue::oldestOf(const PriorityLevel &level)
{
    const Entry *oldest = nullptr;
    for (const auto &[customer, customerQueue] : level) {
        const Entry *head = customerQueue.byAge.begin()->second;
        oldest = oldest == nullptr || head->age < oldest->age ? head : oldest;
    }
    return oldest;
}

std::vector<RequestId> WaitQueue::next(Time now, const ExceedsFairShare &exceedsFairShare) const
{
    if (byAge_.empty()) {
        return {};
    }
    const bool lowestPriority = lowestPriorityIsDue();
    const bool oldest =
        lowestPriority
        || (turns_ + 1) % static_cast<std::uint64_t>(options_.oldestTurnInterval) == 0;
    const PriorityLevel &first =
        lowestPriority ? levels_.rbegin()->second : levels_.begin()->second;
    std::vector<RequestId> result;
    result.push_back(
        (oldest ? oldestOf(first) : firstInOrder(first, newestFirst(now), exceedsFairShare))
            ->waiting.id);
    for (const auto &[priority, level] : levels_) {
        if (&level != &first) {
            result.push_back(firstInOrder(level, newestFirst(now), exceedsFairShare)->waiting.id);
        }
    }
    return result;
}

bool WaitQueue::lowestPriorityIsDue() const
{
    const double work = oldestOf(levels_.rbegin()->second)->waiting.workTokens;
    return workSinceLowestServed_ >= options_.lowerPriorityRatio * work;
}

void WaitQueue::recordServed(const RequestId &id)
{
    ++turns_;
    // Only serving the oldest resets the sum. If a younger request of the lowest priority, served
    // while no higher one waits, reset it as well, the oldest would be delayed.
    const Entry *oldest = oldestOf(levels_.rbegin()->second);
    const bool served = oldest->waiting.id == id;
    workSinceLowestServed_ =
        served ? 0 : workSinceLowestServed_ + waiting_.at(id).waiting.workTokens;
}

std::vector<RequestId> WaitQueue::expired(Time time) const
{
    std::vector<RequestId> result;
    for (const auto &[deadline, id] : byDeadline_) {
        if (deadline > time) {
            break;
        }
        result.push_back(id);
    }
    return result;
}

std::optional<Time> WaitQueue::firstDeadline() const
{
    return byDeadline_.empty() ? std::nullopt : std::optional(byDeadline_.begin()->first);
}

std::vector<RequestId> WaitQueue::oldest(std::size_t count) const
{
    std::vector<RequestId> result;
    for (const auto &[age, entry] : byAge_) {
        if (result.size() == count) {
            break;
        }
        result.push_back(entry->waiting.id);
    }
    return result;
}

} // namespace LaburnumChute::Decisions
