#include "Decisions/PrefixIndex.h"

#include <algorithm>

namespace LaburnumChute::Decisions {

std::int64_t PrefixHolders::cachedTokens(EndpointHandle handle) const
{
    for (std::size_t index = 0; index < count; ++index) {
        if (holders[index].handle == handle) {
            return holders[index].cachedTokens;
        }
    }
    return 0;
}

PrefixIndex::PrefixIndex(std::size_t maxEntries)
    : maxEntries_(maxEntries)
{
}

void PrefixIndex::stored(EndpointHandle handle, std::uint64_t block)
{
    auto &positions = byBlock_[block];
    for (const auto position : positions) {
        if (position->handle == handle) {
            byLastUse_.splice(byLastUse_.end(), byLastUse_, position);
            return;
        }
    }
    byLastUse_.push_back({block, handle});
    positions.push_back(std::prev(byLastUse_.end()));
    if (byLastUse_.size() > maxEntries_) {
        erase(byLastUse_.begin());
    }
}

void PrefixIndex::stored(EndpointHandle handle, const std::vector<std::uint64_t> &blocks)
{
    for (const auto block : blocks) {
        stored(handle, block);
    }
}

void PrefixIndex::evicted(EndpointHandle handle, std::uint64_t block)
{
    const auto found = byBlock_.find(block);
    if (found == byBlock_.end()) {
        return;
    }
    for (const auto position : found->second) {
        if (position->handle == handle) {
            erase(position);
            return;
        }
    }
}

void PrefixIndex::forget(EndpointHandle handle)
{
    for (auto position = byLastUse_.begin(); position != byLastUse_.end();) {
        const auto next = std::next(position);
        if (position->handle == handle) {
            erase(position);
        }
        position = next;
    }
}

void PrefixIndex::erase(Position position)
{
    const auto found = byBlock_.find(position->block);
    std::erase(found->second, position);
    if (found->second.empty()) {
        byBlock_.erase(found);
    }
    byLastUse_.erase(position);
}

PrefixHolders PrefixIndex::holders(const std::vector<std::uint64_t> &blocks) const
{
    PrefixHolders result;
    for (std::size_t depth = blocks.size(); depth > 0; --depth) {
        const auto found = byBlock_.find(blocks[depth - 1]);
        if (found == byBlock_.end()) {
            continue;
        }
        for (const auto position : found->second) {
            if (result.cachedTokens(position->handle) > 0) {
                continue;
            }
            const auto tokens = static_cast<std::int64_t>(depth) * BlockTokens;
            result.holders[result.count++] = {position->handle, tokens};
            if (result.count == PrefixHolders::MaxHolders) {
                return result;
            }
        }
    }
    return result;
}

} // namespace LaburnumChute::Decisions
