#include "Catalog/ItemStore.h"

#include <algorithm>
#include <set>

namespace LaburnumChute::Catalog {

namespace {

/// Maximum number of tombstones, at about 100 bytes each. A peer that was away for longer than they
/// are kept gets a complete set.
constexpr std::size_t MaxTombstones = 2048;

} // namespace

void ItemStore::applyItem(const Item &item, std::vector<Item> &changed)
{
    auto &known = items_[item.key];
    if (!known.key.empty() && known.revision >= item.revision) {
        return;
    }
    const bool wasTombstone = !known.key.empty() && !known.value;
    tombstones_ -= wasTombstone ? 1 : 0;
    tombstones_ += item.value ? 0 : 1;
    known = item;
    changed.push_back(item);
}

std::vector<Item> ItemStore::apply(const ItemChanges &changes)
{
    std::vector<Item> changed;
    for (const auto &item : changes.items) {
        applyItem(item, changed);
    }
    if (changes.complete) {
        std::set<std::string_view> listed;
        for (const auto &item : changes.items) {
            listed.insert(item.key);
        }
        if (changes.upTo > upTo_) {
            // An item that was created and deleted since the last known revision is in no set.
            deletionsKnownAfter_ = changes.upTo;
        }
        std::vector<Item> missing;
        for (const auto &[key, item] : items_) {
            if (item.value && item.revision <= changes.upTo && listed.count(key) == 0) {
                missing.push_back({key, changes.upTo, std::nullopt});
            }
        }
        for (const auto &item : missing) {
            // The listing does not tell the revision of the deletion, so an item of equal revision
            // must be replaced as well.
            items_[item.key].revision = 0;
            applyItem(item, changed);
        }
    }
    upTo_ = std::max(upTo_, changes.upTo);
    pruneTombstones();
    return changed;
}

ItemChanges ItemStore::since(Revision known) const
{
    ItemChanges changes;
    changes.upTo = upTo_;
    changes.complete = needsCompleteSet(known);
    for (const auto &[key, item] : items_) {
        const bool wanted = changes.complete ? item.value.has_value() : item.revision > known;
        if (wanted) {
            changes.items.push_back(item);
        }
    }
    return changes;
}

std::size_t ItemStore::size() const
{
    return items_.size() - tombstones_;
}

void ItemStore::pruneTombstones()
{
    if (tombstones_ <= MaxTombstones) {
        return;
    }
    std::vector<Revision> revisions;
    for (const auto &[key, item] : items_) {
        if (!item.value) {
            revisions.push_back(item.revision);
        }
    }
    const auto middle = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
    std::nth_element(revisions.begin(), middle, revisions.end());
    const auto discardedUpTo = *middle;
    tombstones_ -= std::erase_if(items_, [discardedUpTo](const auto &entry) {
        return !entry.second.value && entry.second.revision <= discardedUpTo;
    });
    deletionsKnownAfter_ = std::max(deletionsKnownAfter_, discardedUpTo);
}

} // namespace LaburnumChute::Catalog
