#include <algorithm>
#include <array>
#include <map>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Catalog/Catalog.h"

namespace LaburnumChute::Catalog {

namespace {

Item item(const std::string &key, Revision revision, const std::string &value)
{
    return {key, revision, value};
}

Item deletion(const std::string &key, Revision revision)
{
    return {key, revision, std::nullopt};
}

/// The platform's store with its history.
class StoreModel
{
public:
    void put(const std::string &key)
    {
        ++revision_;
        history_.push_back(item(key, revision_, std::to_string(revision_)));
    }
    void remove(const std::string &key)
    {
        ++revision_;
        history_.push_back(deletion(key, revision_));
    }
    /// Answer to a call that waits for changes.
    ItemChanges changesAfter(Revision known) const
    {
        return {{history_.begin() + static_cast<std::ptrdiff_t>(known), history_.end()},
                revision_,
                false};
    }
    ItemChanges listing() const
    {
        ItemChanges all{{}, revision_, true};
        for (const auto &[key, value] : contentsAt(revision_)) {
            all.items.push_back(item(key, std::stoull(value), value));
        }
        return all;
    }
    std::map<std::string, std::string> contentsAt(Revision revision) const
    {
        std::map<std::string, std::string> result;
        for (const auto &each : history_) {
            if (each.revision > revision) {
                break;
            }
            if (each.value) {
                result[each.key] = *each.value;
            } else {
                result.erase(each.key);
            }
        }
        return result;
    }

private:
    Revision revision_ = 0;
    /// The change with revision N has index N - 1.
    std::vector<Item> history_;
};

std::map<std::string, std::string> contents(const ItemStore &store)
{
    std::map<std::string, std::string> result;
    for (const auto &each : store.since(0).items) {
        result[each.key] = *each.value;
    }
    return result;
}

} // namespace

// Guards against restoring removed routes when a peer that was partitioned sends an outdated copy
// of the configuration.
TEST(ItemStoreTest, OutdatedCopyChangesNothing)
{
    ItemStore store;
    store.apply({{item("a", 5, "new")}, 5, false});
    EXPECT_TRUE(store.apply({{item("a", 3, "old")}, 3, false}).empty());
    EXPECT_EQ(contents(store).at("a"), "new");
    EXPECT_EQ(store.upTo(), 5U);
}

// Guards against sending requests to a removed endpoint when an outdated copy of its record arrives
// from a peer after the deletion.
TEST(ItemStoreTest, OutdatedCopyDoesNotRestoreADeletedItem)
{
    ItemStore store;
    store.apply({{item("a", 2, "x"), deletion("a", 4)}, 4, false});
    store.apply({{item("a", 2, "x")}, 2, false});
    EXPECT_TRUE(contents(store).empty());
}

// The store has discarded its change history, and an item was deleted meanwhile. Only its absence
// from the listing shows the deletion.
TEST(ItemStoreTest, ListingDeletesOmittedItems)
{
    ItemStore store;
    store.apply({{item("a", 2, "x"), item("b", 3, "y")}, 3, true});
    const auto changed = store.apply({{item("b", 3, "y")}, 9, true});
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(changed[0].key, "a");
    EXPECT_FALSE(changed[0].value);
}

// Guards against undoing a change that a peer sent while the pages of a listing were being read:
// the item is newer than the listing and must be kept.
TEST(ItemStoreTest, ListingKeepsNewerItems)
{
    ItemStore store;
    store.apply({{item("a", 12, "x")}, 12, false});
    store.apply({{}, 9, true});
    EXPECT_EQ(contents(store).size(), 1U);
}

TEST(ItemStoreTest, PeerGetsOnlyMissingChanges)
{
    ItemStore store;
    store.apply({{item("a", 2, "x"), item("b", 5, "y"), deletion("c", 6)}, 6, false});
    const auto changes = store.since(4);
    EXPECT_FALSE(changes.complete);
    EXPECT_EQ(changes.items.size(), 2U);
    EXPECT_EQ(changes.upTo, 6U);
}

// Tombstones are discarded after thousands of deletions. A peer that was away for longer would
// never learn of those deletions unless it gets a complete set.
TEST(ItemStoreTest, PeerBehindDiscardedTombstonesGetsACompleteSet)
{
    ItemStore store;
    Revision revision = 10;
    for (int index = 0; index < 5000; ++index) {
        const auto key = std::to_string(index);
        store.apply({{item(key, revision, "x"), deletion(key, revision + 1)}, revision + 1, false});
        revision += 2;
    }
    EXPECT_TRUE(store.since(10).complete);
    EXPECT_FALSE(store.since(revision - 4).complete);
}

// Guards against endpoints that stay in the catalog of an instance for good: it was cut off from
// the store while they were removed, and catches up from an instance that has started since then.
TEST(ItemStoreTest, PeerLearnsOfDeletionsBeforeTheFirstListing)
{
    ItemStore behind;
    behind.apply({{item("a", 7, "x"), item("b", 8, "y")}, 8, true});
    ItemStore restarted;
    restarted.apply({{item("b", 8, "y"), item("c", 10, "z")}, 10, true});
    behind.apply(restarted.since(behind.upTo()));
    EXPECT_EQ(contents(behind), contents(restarted));
}

// As above, for an item that was created and deleted while the history of the store was lost.
TEST(ItemStoreTest, PeerLearnsOfDeletionsBetweenTwoListings)
{
    ItemStore behind;
    behind.apply({{item("a", 7, "x")}, 7, true});
    ItemStore listedAgain;
    listedAgain.apply({{}, 5, true});
    listedAgain.apply({{item("b", 9, "y")}, 9, true});
    behind.apply(listedAgain.since(behind.upTo()));
    EXPECT_EQ(contents(behind), contents(listedAgain));
}

TEST(ItemStoreTest, PeersThatAreNotBehindAListingGetOnlyChanges)
{
    ItemStore store;
    store.apply({{item("a", 7, "x")}, 7, true});
    store.apply({{item("b", 8, "y")}, 8, false});
    EXPECT_FALSE(store.since(7).complete);
}

// Guards against instances that claim a revision whose deletions they do not know, in any order of
// changes, listings, restarts and transfers between instances.
RC_GTEST_PROP(ItemStoreProperty, AReplicaHasWhatTheStoreHadAtItsRevision, ())
{
    constexpr int Replicas = 3;
    enum class Step { Put, Remove, List, Watch, Restart, Transfer };
    StoreModel model;
    std::array<ItemStore, Replicas> replicas;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int index = 0; index < steps; ++index) {
        const auto key = std::string(1, *rc::gen::inRange('a', 'e'));
        auto &replica = replicas.at(*rc::gen::inRange<std::size_t>(0, Replicas));
        const auto &other = replicas.at(*rc::gen::inRange<std::size_t>(0, Replicas));
        switch (*rc::gen::element(Step::Put, Step::Remove, Step::List, Step::Watch, Step::Restart,
                                  Step::Transfer)) {
        case Step::Put:
            model.put(key);
            break;
        case Step::Remove:
            model.remove(key);
            break;
        case Step::List:
            replica.apply(model.listing());
            break;
        case Step::Watch:
            if (replica.upTo() > 0) {
                replica.apply(model.changesAfter(replica.upTo()));
            }
            break;
        case Step::Restart:
            replica = ItemStore();
            break;
        case Step::Transfer:
            replica.apply(other.since(replica.upTo()));
            break;
        }
        for (const auto &each : replicas) {
            RC_ASSERT(contents(each) == model.contentsAt(each.upTo()));
        }
    }
}

RC_GTEST_PROP(ItemStoreProperty, OrderOfArrivalDoesNotMatter, ())
{
    const auto count = *rc::gen::inRange(1, 20);
    std::vector<Item> history;
    for (int index = 0; index < count; ++index) {
        const auto key = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
        const bool deletes = *rc::gen::arbitrary<bool>();
        const auto revision = static_cast<Revision>(index) + 1;
        history.push_back(deletes ? deletion(key, revision)
                                  : item(key, revision, std::to_string(index)));
    }
    ItemStore inOrder;
    for (const auto &each : history) {
        inOrder.apply({{each}, each.revision, false});
    }
    auto shuffled = history;
    const auto seed = *rc::gen::arbitrary<unsigned>();
    std::mt19937 random(seed);
    std::shuffle(shuffled.begin(), shuffled.end(), random);
    ItemStore outOfOrder;
    for (const auto &each : shuffled) {
        outOfOrder.apply({{each}, each.revision, false});
    }
    RC_ASSERT(contents(inOrder) == contents(outOfOrder));
    RC_ASSERT(inOrder.upTo() == outOfOrder.upTo());
}

} // namespace LaburnumChute::Catalog
