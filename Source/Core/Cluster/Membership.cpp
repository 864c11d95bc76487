#include "Cluster/Membership.h"

#include <algorithm>
#include <bit>
#include <tuple>

#include "Cluster/Codec.h"
#include "Common/Hash.h"

namespace LaburnumChute::Cluster {

namespace {

/// Each instance transmits an update this many times the binary logarithm of the member count. With
/// 2, an update misses an instance with a probability below 1%; the periodic comparison of the
/// member tables repairs the rest.
constexpr std::size_t RetransmitMultiplier = 2;

std::size_t binaryLogarithm(std::size_t count)
{
    return std::bit_width(count);
}

auto precedence(std::uint32_t counter, Health health)
{
    return std::make_tuple(counter, static_cast<int>(health));
}

} // namespace

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Leaving:
        return "leaving";
    }
    return "dead";
}

Membership::Membership(const ClusterOptions &options, MemberInfo self)
    : options_(options)
    , self_(std::move(self))
{
    enqueueUpdate(self_.id, true);
}

void Membership::apply(const MemberUpdate &update, Common::Time now, Effects &effects)
{
    if (update.id == self_.id) {
        applyToSelf(update, effects);
        return;
    }
    const auto it = records_.find(update.id);
    if (it == records_.end() || update.incarnation > it->second.info.incarnation) {
        add(update, now, effects);
        return;
    }
    if (update.incarnation == it->second.info.incarnation) {
        applyToRecord(it->second, update, now, effects);
    }
}

void Membership::applyToSelf(const MemberUpdate &update, Effects &effects)
{
    if (update.incarnation > self_.incarnation && update.incarnation > supersededBy_.value_or(0)) {
        supersededBy_ = update.incarnation;
        effects.push_back(SelfSuperseded{update.incarnation});
    }
    if (update.incarnation != self_.incarnation || update.health == Health::Alive) {
        return;
    }
    if (update.counter < counter_) {
        corrections_.push_back(selfUpdate(false));
        return;
    }
    counter_ = update.counter + 1;
    ++refutations_;
    enqueueUpdate(self_.id, true);
}

void Membership::add(const MemberUpdate &update, Common::Time now, Effects &effects)
{
    // A member is unusable without its addresses; the comparison of the member tables will provide
    // them.
    if (!update.info || update.info->region != self_.region) {
        return;
    }
    Record record;
    record.info = *update.info;
    record.info.incarnation = update.incarnation;
    record.counter = update.counter;
    record.leaving = update.leaving;
    record.listedLeaving = !records_.contains(update.id) && listedLeaving_.contains(update.id);
    setHealth(record, update.health, now);
    records_[update.id] = record;
    enqueueUpdate(update.id, true);
    effects.push_back(MemberChanged{viewOf(record)});
}

void Membership::applyToRecord(Record &record, const MemberUpdate &update, Common::Time now,
                               Effects &effects)
{
    const bool startsLeaving = update.leaving && !record.leaving;
    const bool newer =
        precedence(update.counter, update.health) > precedence(record.counter, record.health);
    if (update.health != Health::Alive && update.counter < record.counter) {
        corrections_.push_back(updateOf(record, false));
    }
    if (!startsLeaving && !newer) {
        return;
    }
    const MemberState before = viewOf(record).state;
    const bool revived = newer && record.health == Health::Dead && update.health != Health::Dead;
    record.leaving = record.leaving || update.leaving;
    if (newer) {
        record.counter = update.counter;
        setHealth(record, update.health, now);
    }
    enqueueUpdate(update.id, revived);
    if (viewOf(record).state != before) {
        effects.push_back(MemberChanged{viewOf(record)});
    }
}

void Membership::setHealth(Record &record, Health health, Common::Time now)
{
    record.health = health;
    record.changed = now;
    record.suspicionEnds = now + suspicionTime();
}

void Membership::suspect(const Common::InstanceId &id, Common::Time now, Effects &effects)
{
    const auto it = records_.find(id);
    if (it == records_.end() || it->second.health != Health::Alive) {
        return;
    }
    MemberUpdate update = updateOf(it->second, false);
    update.health = Health::Suspect;
    applyToRecord(it->second, update, now, effects);
}

void Membership::tick(Common::Time now, Effects &effects)
{
    for (auto it = records_.begin(); it != records_.end();) {
        Record &record = it->second;
        if (record.health == Health::Suspect && now >= record.suspicionEnds) {
            MemberUpdate update = updateOf(record, false);
            update.health = Health::Dead;
            applyToRecord(record, update, now, effects);
        }
        const bool isExpired =
            record.health == Health::Dead && now - record.changed > options_.deadRetention;
        if (isExpired) {
            ++changes_;
            pendingUpdates_.erase(it->first);
        }
        it = isExpired ? records_.erase(it) : std::next(it);
    }
}

void Membership::restartSuspicions(Common::Time now)
{
    for (auto &[id, record] : records_) {
        record.suspicionEnds = now + suspicionTime();
    }
}

void Membership::postponeSuspicions(Common::Duration gap)
{
    for (auto &[id, record] : records_) {
        record.suspicionEnds += gap;
    }
}

void Membership::startLeaving()
{
    leaving_ = true;
    enqueueUpdate(self_.id, false);
}

void Membership::setListedLeaving(const std::set<Common::InstanceId> &listed, Effects &effects)
{
    for (auto &[id, record] : records_) {
        const MemberState before = viewOf(record).state;
        if (!listed.contains(id)) {
            record.listedLeaving = false;
        } else if (!listedLeaving_.contains(id)) {
            record.listedLeaving = true;
        }
        if (viewOf(record).state != before) {
            ++changes_;
            effects.push_back(MemberChanged{viewOf(record)});
        }
    }
    listedLeaving_ = listed;
}

std::vector<MemberUpdate> Membership::takeUpdates(std::size_t maxBytes)
{
    std::vector<std::pair<std::size_t, Common::InstanceId>> order;
    order.reserve(pendingUpdates_.size());
    for (const auto &[id, pending] : pendingUpdates_) {
        order.emplace_back(pending.sent, id);
    }
    std::sort(order.begin(), order.end());
    std::vector<MemberUpdate> updates;
    const std::size_t limit = transmitLimit();
    for (const auto &[sent, id] : order) {
        PendingUpdate &pending = pendingUpdates_[id];
        auto update = this->currentUpdate(id, pending.withInfo);
        const std::size_t size = update ? encodedSize(*update) : 0;
        if (size > maxBytes) {
            continue;
        }
        maxBytes -= size;
        if (update) {
            updates.push_back(std::move(*update));
        }
        if (++pending.sent >= limit) {
            pendingUpdates_.erase(id);
        }
    }
    return updates;
}

void Membership::enqueueUpdate(const Common::InstanceId &id, bool withInfo)
{
    ++changes_;
    pendingUpdates_[id] = PendingUpdate{0, withInfo};
}

std::size_t Membership::transmitLimit() const
{
    return RetransmitMultiplier * binaryLogarithm(records_.size() + 2);
}

Common::Duration Membership::suspicionTime() const
{
    const auto periods = options_.suspicionPeriods + binaryLogarithm(records_.size() + 1);
    return options_.probePeriod * static_cast<int>(periods);
}

MemberUpdate Membership::updateOf(const Record &record, bool withInfo)
{
    MemberUpdate update{record.info.id, record.info.incarnation, record.counter,
                        record.health,  record.leaving,          std::nullopt};
    if (withInfo) {
        update.info = record.info;
    }
    return update;
}

MemberView Membership::viewOf(const Record &record)
{
    MemberView view{record.info, MemberState::Alive};
    if (record.health == Health::Dead) {
        view.state = MemberState::Dead;
    } else if (record.leaving || record.listedLeaving) {
        view.state = MemberState::Leaving;
    } else if (record.health == Health::Suspect) {
        view.state = MemberState::Suspect;
    }
    return view;
}

MemberUpdate Membership::selfUpdate(bool withInfo) const
{
    MemberUpdate update{self_.id,      self_.incarnation, counter_,
                        Health::Alive, leaving_,          std::nullopt};
    if (withInfo) {
        update.info = self_;
    }
    return update;
}

std::optional<MemberUpdate> Membership::currentUpdate(const Common::InstanceId &id,
                                                      bool withInfo) const
{
    if (id == self_.id) {
        return selfUpdate(withInfo);
    }
    const auto it = records_.find(id);
    return it == records_.end() ? std::nullopt : std::optional(updateOf(it->second, withInfo));
}

std::vector<MemberUpdate> Membership::allUpdates() const
{
    std::vector<MemberUpdate> updates{selfUpdate(true)};
    for (const auto &[id, record] : records_) {
        updates.push_back(updateOf(record, true));
    }
    return updates;
}

std::optional<MemberView> Membership::view(const Common::InstanceId &id) const
{
    if (id == self_.id) {
        return MemberView{self_, leaving_ ? MemberState::Leaving : MemberState::Alive};
    }
    const auto it = records_.find(id);
    return it == records_.end() ? std::nullopt : std::optional(viewOf(it->second));
}

std::vector<MemberView> Membership::views() const
{
    std::vector<MemberView> views{*view(self_.id)};
    for (const auto &[id, record] : records_) {
        views.push_back(viewOf(record));
    }
    return views;
}

std::vector<Common::InstanceId> Membership::peers() const
{
    std::vector<Common::InstanceId> ids;
    for (const auto &[id, record] : records_) {
        if (record.health != Health::Dead) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<Common::InstanceId> Membership::eligible() const
{
    std::vector<Common::InstanceId> ids;
    if (!leaving_) {
        ids.push_back(self_.id);
    }
    for (const auto &[id, record] : records_) {
        if (record.health != Health::Dead && !record.leaving && !record.listedLeaving) {
            ids.push_back(id);
        }
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

std::vector<Common::InstanceId> Membership::dead() const
{
    std::vector<Common::InstanceId> ids;
    for (const auto &[id, record] : records_) {
        if (record.health == Health::Dead) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::uint64_t Membership::hash() const
{
    const auto hashOne = [](const MemberUpdate &update) {
        const std::uint64_t packed = (update.incarnation << 1) ^ (update.leaving ? 1u : 0u);
        return Common::stableHash(update.id.text(), packed);
    };
    std::uint64_t result = hashOne(selfUpdate(false));
    for (const auto &[id, record] : records_) {
        // Dead members are excluded, since each instance removes them at a different time. So are
        // suspicions and their refutations: with 5% packet loss, one is always in progress in a
        // region of 200, and every comparison would end in a transfer of the whole table.
        if (record.health != Health::Dead) {
            result ^= hashOne(updateOf(record, false));
        }
    }
    return result;
}

} // namespace LaburnumChute::Cluster
