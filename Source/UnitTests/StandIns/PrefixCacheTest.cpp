#include <gtest/gtest.h>

#include "StandIns/PrefixCache.h"

using LaburnumChute::StandIns::PrefixCache;

namespace {

TEST(PrefixCache, EvictsTheTailOfTheLeastRecentlyUsedPromptFirst)
{
    PrefixCache cache;
    cache.setCapacity(4, {});
    cache.store({1, 2, 3}, {});
    cache.store({4, 5}, {});
    EXPECT_EQ(cache.cachedBlocks({1, 2, 3}), 2U);
    EXPECT_EQ(cache.cachedBlocks({4, 5}), 2U);
    ASSERT_EQ(cache.events().size(), 6U);
    EXPECT_FALSE(cache.events().back().stored);
    EXPECT_EQ(cache.events().back().prefix, 3U);
}

TEST(PrefixCache, UseKeepsAPromptInMemory)
{
    PrefixCache cache;
    cache.setCapacity(2, {});
    cache.store({1}, {});
    cache.store({2}, {});
    cache.store({1}, {});
    cache.store({3}, {});
    EXPECT_EQ(cache.cachedBlocks({1}), 1U);
    EXPECT_EQ(cache.cachedBlocks({2}), 0U);
}

TEST(PrefixCache, NamesTheChainOfABlockForExport)
{
    PrefixCache cache;
    cache.setCapacity(8, {});
    cache.store({1, 2, 3}, {});
    EXPECT_EQ(cache.chainTo(2), (std::vector<std::uint64_t>{1, 2}));
    EXPECT_TRUE(cache.chainTo(9).empty());
}

} // namespace
