#include <gtest/gtest.h>

#include "Dispatch/PrefixCache.h"

namespace LaburnumChute::Dispatch {

using Dialect::PromptPart;

TEST(PrefixCacheTest, PartCountsOnlyWithAllBeforeIt)
{
    PrefixCache cache(1000);
    cache.use(std::vector<PromptPart>{{1, 100}, {2, 50}});
    EXPECT_EQ(cache.cachedTokens({{1, 100}, {2, 50}, {3, 10}}), 150);
    EXPECT_EQ(cache.cachedTokens({{9, 100}, {2, 50}}), 0);
}

TEST(PrefixCacheTest, LeastRecentlyUsedPartIsEvicted)
{
    PrefixCache cache(250);
    cache.use(PromptPart{1, 100});
    cache.use(PromptPart{2, 100});
    cache.use(PromptPart{1, 100});
    cache.use(PromptPart{3, 100});
    EXPECT_EQ(cache.cachedTokens({{1, 100}}), 100);
    EXPECT_EQ(cache.cachedTokens({{2, 100}}), 0);
}

// The first part of a prompt must be evicted last: the others are useless without it.
TEST(PrefixCacheTest, PartsOfOnePromptAreEvictedFromItsEnd)
{
    PrefixCache cache(200);
    cache.use(std::vector<PromptPart>{{1, 100}, {2, 100}});
    cache.use(PromptPart{3, 50});
    EXPECT_EQ(cache.cachedTokens({{1, 100}, {2, 100}}), 100);
}

TEST(PrefixCacheTest, SmallerCapacityEvictsAtOnce)
{
    PrefixCache cache(1000);
    cache.use(std::vector<PromptPart>{{1, 100}, {2, 100}});
    cache.setCapacity(100);
    EXPECT_EQ(cache.parts().size(), 1U);
}

} // namespace LaburnumChute::Dispatch
