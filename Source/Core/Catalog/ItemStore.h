#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace LaburnumChute::Catalog {

/// Change counter of the platform's store; each item has the revision of its last change.
using Revision = std::uint64_t;

/// An item of the store, or the tombstone of a deleted one.
struct Item
{
    std::string key;
    Revision revision = 0;
    /// Empty if the item was deleted.
    std::optional<std::string> value;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, revision, value);
    }
};

/// Changes up to a revision. A complete set contains all existing items: an item that it omits does
/// not exist.
struct ItemChanges
{
    std::vector<Item> items;
    Revision upTo = 0;
    bool complete = false;
    /// Why other items could not be read. Not passed on to peers.
    std::vector<std::string> unreadable;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(items, upTo, complete);
    }
};

/// This process's replica of the store's items, fed by the store itself and by peers.
///
/// Updates arrive in any order and may be outdated, for example from a peer that was partitioned or
/// from a listing during which items changed. An item is therefore only replaced by a higher
/// revision; otherwise an outdated copy would bring back a replaced configuration or a removed
/// endpoint.
class ItemStore
{
public:
    /// Merges changes; returns the items that were added or replaced, including deletions.
    std::vector<Item> apply(const ItemChanges &changes);
    /// The changes that a peer needs that knows all changes up to the revision.
    ItemChanges since(Revision known) const;
    /// Whether a peer that knows all changes up to the revision needs a complete set, since not all
    /// later deletions are known here.
    bool needsCompleteSet(Revision known) const
    {
        return known < deletionsKnownAfter_ || known == 0;
    }
    /// All changes up to this revision are known.
    Revision upTo() const
    {
        return upTo_;
    }
    std::size_t size() const;

private:
    void applyItem(const Item &item, std::vector<Item> &changed);
    void pruneTombstones();

    std::map<std::string, Item> items_;
    Revision upTo_ = 0;
    /// Only later deletions all have a tombstone: earlier ones were discarded, or took place before
    /// a listing, which does not contain them.
    Revision deletionsKnownAfter_ = 0;
    std::size_t tombstones_ = 0;
};

} // namespace LaburnumChute::Catalog
