#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "Dialect/Dialect.h"

namespace LaburnumChute::Dispatch {

/// Estimated contents of an endpoint's prefix cache: parts of prompts in least-recently-used order.
/// Derived from the requests that were sent to the endpoint, since asking endpoints for their cache
/// contents is expensive and the answers are late.
class PrefixCache
{
public:
    explicit PrefixCache(std::int64_t capacityTokens = 0);

    void setCapacity(std::int64_t tokens);
    /// Records that the endpoint prefills these parts or has them cached already.
    void use(const std::vector<Dialect::PromptPart> &parts);
    void use(const Dialect::PromptPart &part);
    /// Number of tokens at the start of the prompt that are cached: a part counts only if all parts
    /// before it are cached too.
    std::int64_t cachedTokens(const std::vector<Dialect::PromptPart> &parts) const;
    /// Ordered from the least to the most recently used.
    std::vector<Dialect::PromptPart> parts() const;
    /// Removes the parts, which were found not to be cached.
    void forget(const std::vector<Dialect::PromptPart> &parts);
    void clear();

private:
    void evict();

    std::int64_t capacity_;
    std::int64_t cachedTokens_ = 0;
    /// Ordered from the most to the least recently used.
    std::list<Dialect::PromptPart> order_;
    std::unordered_map<std::uint64_t, std::list<Dialect::PromptPart>::iterator> byId_;
};

} // namespace LaburnumChute::Dispatch
