#include "Dispatch/PrefixCache.h"

namespace LaburnumChute::Dispatch {

PrefixCache::PrefixCache(std::int64_t capacityTokens)
    : capacity_(capacityTokens)
{
}

void PrefixCache::setCapacity(std::int64_t tokens)
{
    capacity_ = tokens;
    evict();
}

void PrefixCache::use(const Dialect::PromptPart &part)
{
    const auto found = byId_.find(part.id);
    if (found != byId_.end()) {
        order_.splice(order_.begin(), order_, found->second);
        return;
    }
    order_.push_front(part);
    byId_[part.id] = order_.begin();
    cachedTokens_ += part.tokens;
    evict();
}

void PrefixCache::use(const std::vector<Dialect::PromptPart> &parts)
{
    // In reverse order, so that the first part is evicted last: later parts are useless without it.
    for (auto left = parts.size(); left > 0; --left) {
        use(parts[left - 1]);
    }
}

std::int64_t PrefixCache::cachedTokens(const std::vector<Dialect::PromptPart> &parts) const
{
    std::int64_t tokens = 0;
    for (const auto &part : parts) {
        if (byId_.count(part.id) == 0) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

std::vector<Dialect::PromptPart> PrefixCache::parts() const
{
    return {order_.rbegin(), order_.rend()};
}

void PrefixCache::forget(const std::vector<Dialect::PromptPart> &parts)
{
    for (const auto &part : parts) {
        const auto found = byId_.find(part.id);
        if (found != byId_.end()) {
            cachedTokens_ -= found->second->tokens;
            order_.erase(found->second);
            byId_.erase(found);
        }
    }
}

void PrefixCache::clear()
{
    order_.clear();
    byId_.clear();
    cachedTokens_ = 0;
}

void PrefixCache::evict()
{
    while (cachedTokens_ > capacity_ && !order_.empty()) {
        cachedTokens_ -= order_.back().tokens;
        byId_.erase(order_.back().id);
        order_.pop_back();
    }
}

} // namespace LaburnumChute::Dispatch
