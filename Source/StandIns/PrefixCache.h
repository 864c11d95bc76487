#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::StandIns {

/// One change of the cache, as the engine publishes it.
struct CacheEvent
{
    std::uint64_t seq = 0;
    bool stored = false;
    std::uint64_t prefix = 0;
    /// Tokens from the start of the prompt to the end of this block.
    std::size_t tokens = 0;
    Common::Time at;
};

/// The blocks of prompts whose KV cache an engine still holds, least recently used out first. The
/// blocks of one prompt are touched from its end to its start, so that a prompt loses its tail
/// before its beginning.
class PrefixCache
{
public:
    /// Number of leading blocks of the chain that are cached.
    std::size_t cachedBlocks(const std::vector<std::uint64_t> &chain) const;
    /// Puts the chain in front, storing what is missing, then evicts down to the capacity.
    void store(const std::vector<std::uint64_t> &chain, Common::Time now);
    /// The cached blocks from the start of the prompt to this one; empty when one is missing.
    std::vector<std::uint64_t> chainTo(std::uint64_t hash) const;
    void setCapacity(std::size_t blocks, Common::Time now);
    void clear(Common::Time now);

    std::size_t size() const
    {
        return blocks_.size();
    }
    /// Changes in order, the newest MaxEvents of them.
    const std::list<CacheEvent> &events() const
    {
        return events_;
    }

private:
    struct Block
    {
        std::uint64_t hash = 0;
        std::size_t tokens = 0;
        /// The block before it; 0 for the first one.
        std::uint64_t previous = 0;
    };

    void evict(Common::Time now);
    void publish(bool stored, const Block &block, Common::Time now);

    std::size_t capacity_ = 0;
    /// Most recently used first.
    std::list<Block> blocks_;
    std::unordered_map<std::uint64_t, std::list<Block>::iterator> index_;
    std::list<CacheEvent> events_;
    std::uint64_t nextSeq_ = 1;
};

} // namespace LaburnumChute::StandIns
