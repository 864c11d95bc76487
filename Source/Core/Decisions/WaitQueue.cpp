#include "Decisions/WaitQueue.h"

namespace LaburnumChute::Decisions {

namespace {

template <typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace

WaitQueue::WaitQueue(const QueueOptions &options)
    : options_(options)
{
}

Time WaitQueue::orderTime(const Waiting &waiting) const
{
    const auto weighted = [&](const AgedWorkOrder &order) {
        const std::chrono::duration<double> work = waiting.firstTokenWork * order.workWeight;
        return waiting.enqueuedAt + std::chrono::duration_cast<Duration>(work);
    };
    return std::visit(Overloaded{weighted, [&](const auto &) { return waiting.enqueuedAt; }},
                      options_.order);
}

void WaitQueue::push(Waiting waiting)
{
    const RequestId id = waiting.id;
    const Key age{waiting.enqueuedAt, ++serial_};
    const Key order{orderTime(waiting), serial_};
    const auto [position, isNew] = waiting_.try_emplace(id, Entry{std::move(waiting), age, order});
    if (!isNew) {
        return;
    }
    const Entry &entry = position->second;
    auto &lane = levels_[entry.waiting.priority][entry.waiting.customer];
    lane.byAge[age] = &entry;
    lane.byOrder[order] = &entry;
    byAge_[age] = &entry;
    if (entry.waiting.deadline) {
        byDeadline_.emplace(*entry.waiting.deadline, id);
    }
}

std::optional<Waiting> WaitQueue::remove(const RequestId &id)
{
    const auto found = waiting_.find(id);
    if (found == waiting_.end()) {
        return std::nullopt;
    }
    const Entry &entry = found->second;
    const auto level = levels_.find(entry.waiting.priority);
    const auto lane = level->second.find(entry.waiting.customer);
    lane->second.byAge.erase(entry.age);
    lane->second.byOrder.erase(entry.order);
    if (lane->second.byAge.empty()) {
        level->second.erase(lane);
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

const WaitQueue::Entry *WaitQueue::firstOf(const Level &level, bool newest,
                                           const OverShare &overShare) const
{
    const Entry *best = nullptr;
    bool bestOver = false;
    const auto earlier = [newest](const Entry &one, const Entry &other) {
        return newest ? other.age < one.age : one.order < other.order;
    };
    for (const auto &[customer, lane] : level) {
        const Entry *head = newest ? lane.byAge.rbegin()->second : lane.byOrder.begin()->second;
        const bool over = overShare(customer);
        const bool better = best == nullptr || (over != bestOver ? !over : earlier(*head, *best));
        if (better) {
            best = head;
            bestOver = over;
        }
    }
    return best;
}

const WaitQueue::Entry *WaitQueue::oldestOf(const Level &level)
{
    const Entry *oldest = nullptr;
    for (const auto &[customer, lane] : level) {
        const Entry *head = lane.byAge.begin()->second;
        oldest = oldest == nullptr || head->age < oldest->age ? head : oldest;
    }
    return oldest;
}

std::vector<RequestId> WaitQueue::next(Time now, const OverShare &overShare) const
{
    if (byAge_.empty()) {
        return {};
    }
    const bool lowest = lowestIsDue();
    const bool oldest =
        lowest || (turns_ + 1) % static_cast<std::uint64_t>(options_.oldestEvery) == 0;
    const Level &first = lowest ? levels_.rbegin()->second : levels_.begin()->second;
    std::vector<RequestId> result;
    result.push_back(
        (oldest ? oldestOf(first) : firstOf(first, newestFirst(now), overShare))->waiting.id);
    for (const auto &[priority, level] : levels_) {
        if (&level != &first) {
            result.push_back(firstOf(level, newestFirst(now), overShare)->waiting.id);
        }
    }
    return result;
}

bool WaitQueue::lowestIsDue() const
{
    const double work = oldestOf(levels_.rbegin()->second)->waiting.workTokens;
    return workOfOthers_ >= options_.lowerPriorityRatio * work;
}

void WaitQueue::turnTaken(const RequestId &id)
{
    ++turns_;
    // Only the oldest starts the count anew: a younger one of the lowest priority, served while no
    // higher one waits, must not put the oldest off.
    const Entry *oldest = oldestOf(levels_.rbegin()->second);
    const bool served = oldest->waiting.id == id;
    workOfOthers_ = served ? 0 : workOfOthers_ + waiting_.at(id).waiting.workTokens;
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
