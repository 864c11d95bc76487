#include "StandIns/PrefixCache.h"

#include "StandIns/TokenText.h"

namespace LaburnumChute::StandIns {

namespace {
constexpr std::size_t MaxEvents = 20000;
} // namespace

std::size_t PrefixCache::cachedBlocks(const std::vector<std::uint64_t> &chain) const
{
    std::size_t count = 0;
    while (count < chain.size() && index_.count(chain[count]) != 0) {
        ++count;
    }
    return count;
}

void PrefixCache::store(const std::vector<std::uint64_t> &chain, Common::Time now)
{
    for (std::size_t i = chain.size(); i > 0; --i) {
        const auto hash = chain[i - 1];
        const auto found = index_.find(hash);
        if (found != index_.end()) {
            blocks_.splice(blocks_.begin(), blocks_, found->second);
            continue;
        }
        blocks_.push_front({hash, i * BlockTokens, i > 1 ? chain[i - 2] : 0});
        index_[hash] = blocks_.begin();
        publish(true, blocks_.front(), now);
    }
    evict(now);
}

std::vector<std::uint64_t> PrefixCache::chainTo(std::uint64_t hash) const
{
    std::vector<std::uint64_t> chain;
    while (hash != 0) {
        const auto found = index_.find(hash);
        if (found == index_.end()) {
            return {};
        }
        chain.push_back(hash);
        hash = found->second->previous;
    }
    return {chain.rbegin(), chain.rend()};
}

void PrefixCache::setCapacity(std::size_t blocks, Common::Time now)
{
    capacity_ = blocks;
    evict(now);
}

void PrefixCache::clear(Common::Time now)
{
    const auto capacity = capacity_;
    setCapacity(0, now);
    capacity_ = capacity;
}

void PrefixCache::evict(Common::Time now)
{
    while (blocks_.size() > capacity_) {
        publish(false, blocks_.back(), now);
        index_.erase(blocks_.back().hash);
        blocks_.pop_back();
    }
}

void PrefixCache::publish(bool stored, const Block &block, Common::Time now)
{
    events_.push_back({nextSeq_++, stored, block.hash, block.tokens, now});
    if (events_.size() > MaxEvents) {
        events_.pop_front();
    }
}

} // namespace LaburnumChute::StandIns
