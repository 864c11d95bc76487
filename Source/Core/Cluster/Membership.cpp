#include "Cluster/Membership.h"

#include <algorithm>
#include <bit>
#include <tuple>

#include "Cluster/Codec.h"
#include "Common/Hash.h"

namespace LaburnumChute::Cluster {

namespace {

/// A claim travels in this many messages of each instance, times the binary logarithm of the
/// members: with two, an instance is missed with a probability below 1% (the periodic comparison of
/// whole views finds the rest).
constexpr std::size_t SpreadFactor = 2;

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
    spread(self_.id, true);
}

void Membership::apply(const MemberClaim &claim, Common::Time now, Effects &effects)
{
    if (claim.id == self_.id) {
        applyToSelf(claim, effects);
        return;
    }
    const auto it = records_.find(claim.id);
    if (it == records_.end() || claim.incarnation > it->second.info.incarnation) {
        add(claim, now, effects);
        return;
    }
    if (claim.incarnation == it->second.info.incarnation) {
        applyToRecord(it->second, claim, now, effects);
    }
}

void Membership::applyToSelf(const MemberClaim &claim, Effects &effects)
{
    if (claim.incarnation > self_.incarnation && claim.incarnation > supersededBy_.value_or(0)) {
        supersededBy_ = claim.incarnation;
        effects.push_back(SelfSuperseded{claim.incarnation});
    }
    if (claim.incarnation != self_.incarnation || claim.health == Health::Alive) {
        return;
    }
    if (claim.counter < counter_) {
        corrections_.push_back(selfClaim(false));
        return;
    }
    counter_ = claim.counter + 1;
    ++refutations_;
    spread(self_.id, true);
}

void Membership::add(const MemberClaim &claim, Common::Time now, Effects &effects)
{
    // Without its addresses a member is of no use; the comparison of whole views brings them.
    if (!claim.info || claim.info->region != self_.region) {
        return;
    }
    Record record;
    record.info = *claim.info;
    record.info.incarnation = claim.incarnation;
    record.counter = claim.counter;
    record.leaving = claim.leaving;
    record.listedLeaving = !records_.contains(claim.id) && listedLeaving_.contains(claim.id);
    setHealth(record, claim.health, now);
    records_[claim.id] = record;
    spread(claim.id, true);
    effects.push_back(MemberChanged{viewOf(record)});
}

void Membership::applyToRecord(Record &record, const MemberClaim &claim, Common::Time now,
                               Effects &effects)
{
    const bool startsLeaving = claim.leaving && !record.leaving;
    const bool newer =
        precedence(claim.counter, claim.health) > precedence(record.counter, record.health);
    if (claim.health != Health::Alive && claim.counter < record.counter) {
        corrections_.push_back(claimOf(record, false));
    }
    if (!startsLeaving && !newer) {
        return;
    }
    const MemberState before = viewOf(record).state;
    const bool revived = newer && record.health == Health::Dead && claim.health != Health::Dead;
    record.leaving = record.leaving || claim.leaving;
    if (newer) {
        record.counter = claim.counter;
        setHealth(record, claim.health, now);
    }
    spread(claim.id, revived);
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
    MemberClaim claim = claimOf(it->second, false);
    claim.health = Health::Suspect;
    applyToRecord(it->second, claim, now, effects);
}

void Membership::tick(Common::Time now, Effects &effects)
{
    for (auto it = records_.begin(); it != records_.end();) {
        Record &record = it->second;
        if (record.health == Health::Suspect && now >= record.suspicionEnds) {
            MemberClaim claim = claimOf(record, false);
            claim.health = Health::Dead;
            applyToRecord(record, claim, now, effects);
        }
        const bool forget =
            record.health == Health::Dead && now - record.changed > options_.deadRetention;
        if (forget) {
            ++changes_;
            rumors_.erase(it->first);
        }
        it = forget ? records_.erase(it) : std::next(it);
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

void Membership::leave()
{
    leaving_ = true;
    spread(self_.id, false);
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

std::vector<MemberClaim> Membership::takeClaims(std::size_t maxBytes)
{
    std::vector<std::pair<std::size_t, Common::InstanceId>> order;
    order.reserve(rumors_.size());
    for (const auto &[id, rumor] : rumors_) {
        order.emplace_back(rumor.sent, id);
    }
    std::sort(order.begin(), order.end());
    std::vector<MemberClaim> claims;
    const std::size_t limit = spreadLimit();
    for (const auto &[sent, id] : order) {
        Rumor &rumor = rumors_[id];
        auto claim = this->claim(id, rumor.withInfo);
        const std::size_t size = claim ? encodedSize(*claim) : 0;
        if (size > maxBytes) {
            continue;
        }
        maxBytes -= size;
        if (claim) {
            claims.push_back(std::move(*claim));
        }
        if (++rumor.sent >= limit) {
            rumors_.erase(id);
        }
    }
    return claims;
}

void Membership::spread(const Common::InstanceId &id, bool withInfo)
{
    ++changes_;
    rumors_[id] = Rumor{0, withInfo};
}

std::size_t Membership::spreadLimit() const
{
    return SpreadFactor * binaryLogarithm(records_.size() + 2);
}

Common::Duration Membership::suspicionTime() const
{
    const auto periods = options_.suspicionPeriods + binaryLogarithm(records_.size() + 1);
    return options_.probePeriod * static_cast<int>(periods);
}

MemberClaim Membership::claimOf(const Record &record, bool withInfo)
{
    MemberClaim claim{record.info.id, record.info.incarnation, record.counter,
                      record.health,  record.leaving,          std::nullopt};
    if (withInfo) {
        claim.info = record.info;
    }
    return claim;
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

MemberClaim Membership::selfClaim(bool withInfo) const
{
    MemberClaim claim{self_.id, self_.incarnation, counter_, Health::Alive, leaving_, std::nullopt};
    if (withInfo) {
        claim.info = self_;
    }
    return claim;
}

std::optional<MemberClaim> Membership::claim(const Common::InstanceId &id, bool withInfo) const
{
    if (id == self_.id) {
        return selfClaim(withInfo);
    }
    const auto it = records_.find(id);
    return it == records_.end() ? std::nullopt : std::optional(claimOf(it->second, withInfo));
}

std::vector<MemberClaim> Membership::allClaims() const
{
    std::vector<MemberClaim> claims{selfClaim(true)};
    for (const auto &[id, record] : records_) {
        claims.push_back(claimOf(record, true));
    }
    return claims;
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
    const auto hashOne = [](const MemberClaim &claim) {
        const std::uint64_t facts = (claim.incarnation << 1) ^ (claim.leaving ? 1u : 0u);
        return Common::stableHash(claim.id.text(), facts);
    };
    std::uint64_t result = hashOne(selfClaim(false));
    for (const auto &[id, record] : records_) {
        // Each instance forgets the dead at its own time, so they are no part of the comparison.
        // Nor are suspicions and their refutations: with 5% loss one is always under way in a
        // region of 200, and each comparison ended in a transfer of the whole table.
        if (record.health != Health::Dead) {
            result ^= hashOne(claimOf(record, false));
        }
    }
    return result;
}

} // namespace LaburnumChute::Cluster
