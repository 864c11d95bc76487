#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace LaburnumChute::Catalog {

/// Counts the changes of the platform's store; every item bears that of its last change.
using Revision = std::uint64_t;

/// An item of the store, or the mark that it was deleted.
struct Item
{
    std::string key;
    Revision revision = 0;
    /// Nothing once the item is deleted.
    std::optional<std::string> value;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, revision, value);
    }
};

/// Changes up to a revision. A complete set names all items that there are: what it leaves out does
/// not exist.
struct ItemChanges
{
    std::vector<Item> items;
    Revision upTo = 0;
    bool complete = false;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(items, upTo, complete);
    }
};

/// This process's copy of the store's items, from the store itself or from other instances.
///
/// Copies arrive in any order and some are old: a peer that was cut off, a listing that lasted
/// while items changed. Each item therefore only moves to a higher revision. Taken as they come, an
/// old copy would bring back a configuration that was replaced or an endpoint that has left.
class ItemStore
{
public:
    /// Takes changes in; returns the items that are new or newer here, deletions among them.
    std::vector<Item> apply(const ItemChanges &changes);
    /// What a peer lacks that knows everything up to the revision.
    ItemChanges since(Revision known) const;
    /// Everything up to here is known.
    Revision upTo() const
    {
        return upTo_;
    }
    std::size_t size() const;

private:
    void applyItem(const Item &item, std::vector<Item> &news);
    void pruneTombstones();

    std::map<std::string, Item> items_;
    Revision upTo_ = 0;
    /// Deletions up to here have been forgotten: who knows less needs a complete set.
    Revision prunedUpTo_ = 0;
    std::size_t tombstones_ = 0;
};

} // namespace LaburnumChute::Catalog
