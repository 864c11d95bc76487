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

// A peer that was cut off hands on what it knew before. Its copy of the configuration is older than
// ours, and taken as it comes it would bring back routes that were removed.
TEST(ItemStoreTest, OlderCopyChangesNothing)
{
    ItemStore store;
    store.apply({{item("a", 5, "new")}, 5, false});
    EXPECT_TRUE(store.apply({{item("a", 3, "old")}, 3, false}).empty());
    EXPECT_EQ(contents(store).at("a"), "new");
    EXPECT_EQ(store.upTo(), 5U);
}

// An endpoint's record was deleted; then an old copy of it arrives from a peer. Requests would be
// sent to an endpoint that has gone.
TEST(ItemStoreTest, DeletedItemDoesNotComeBackByAnOldCopy)
{
    ItemStore store;
    store.apply({{item("a", 2, "x"), deletion("a", 4)}, 4, false});
    store.apply({{item("a", 2, "x")}, 2, false});
    EXPECT_TRUE(contents(store).empty());
}

// The store has forgotten its history, and an item was deleted meanwhile: only the listing, which
// lacks it, can tell.
TEST(ItemStoreTest, ListingDeletesWhatItLeavesOut)
{
    ItemStore store;
    store.apply({{item("a", 2, "x"), item("b", 3, "y")}, 3, true});
    const auto news = store.apply({{item("b", 3, "y")}, 9, true});
    ASSERT_EQ(news.size(), 1U);
    EXPECT_EQ(news[0].key, "a");
    EXPECT_FALSE(news[0].value);
}

// A listing has several pages, and an item of a later page is newer than the first page. A change
// that came in between from a peer must not be undone.
TEST(ItemStoreTest, ListingKeepsWhatIsNewerThanItself)
{
    ItemStore store;
    store.apply({{item("a", 12, "x")}, 12, false});
    store.apply({{}, 9, true});
    EXPECT_EQ(contents(store).size(), 1U);
}

TEST(ItemStoreTest, PeerThatKnowsMostGetsOnlyTheRest)
{
    ItemStore store;
    store.apply({{item("a", 2, "x"), item("b", 5, "y"), deletion("c", 6)}, 6, false});
    const auto changes = store.since(4);
    EXPECT_FALSE(changes.complete);
    EXPECT_EQ(changes.items.size(), 2U);
    EXPECT_EQ(changes.upTo, 6U);
}

// Deletions are forgotten after thousands of them. A peer that was away for longer would never
// learn of those, unless it gets all that there is.
TEST(ItemStoreTest, PeerThatWasAwayForLongGetsACompleteSet)
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
