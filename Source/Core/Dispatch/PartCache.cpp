#include "Dispatch/PartCache.h"

namespace LaburnumChute::Dispatch {

PartCache::PartCache(std::int64_t capacityTokens)
    : capacity_(capacityTokens)
{
}

void PartCache::setCapacity(std::int64_t tokens)
{
    capacity_ = tokens;
    evict();
}

void PartCache::use(const Dialect::PromptPart &part)
{
    const auto found = byId_.find(part.id);
    if (found != byId_.end()) {
        order_.splice(order_.begin(), order_, found->second);
        return;
    }
    order_.push_front(part);
    byId_[part.id] = order_.begin();
    held_ += part.tokens;
    evict();
}

void PartCache::use(const std::vector<Dialect::PromptPart> &parts)
{
    // From the last to the first: a part without those before it is worth nothing, so that the
    // first one has to be the last to yield.
    for (auto left = parts.size(); left > 0; --left) {
        use(parts[left - 1]);
    }
}

std::int64_t PartCache::cachedTokens(const std::vector<Dialect::PromptPart> &parts) const
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

std::vector<Dialect::PromptPart> PartCache::parts() const
{
    return {order_.rbegin(), order_.rend()};
}

void PartCache::clear()
{
    order_.clear();
    byId_.clear();
    held_ = 0;
}

void PartCache::evict()
{
    while (held_ > capacity_ && !order_.empty()) {
        held_ -= order_.back().tokens;
        byId_.erase(order_.back().id);
        order_.pop_back();
    }
}

} // namespace LaburnumChute::Dispatch
