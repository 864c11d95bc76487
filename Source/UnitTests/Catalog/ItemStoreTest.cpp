#include <algorithm>
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
