#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "Dialect/Dialect.h"

namespace LaburnumChute::Dispatch {

/// What an endpoint's memory is thought to hold: parts of prompts, the least recently used of which
/// yield. Made of what was sent there, since endpoints tell of their memory late and at a price.
class PartCache
{
public:
    explicit PartCache(std::int64_t capacityTokens = 0);

    void setCapacity(std::int64_t tokens);
    /// The endpoint reads these parts, or has them already.
    void use(const std::vector<Dialect::PromptPart> &parts);
    void use(const Dialect::PromptPart &part);
    /// Tokens from the start of the prompt that need not be read again: a part counts only when all
    /// before it are held too.
    std::int64_t cachedTokens(const std::vector<Dialect::PromptPart> &parts) const;
    /// The least recently used first.
    std::vector<Dialect::PromptPart> parts() const;
    void clear();

private:
    void evict();

    std::int64_t capacity_;
    std::int64_t held_ = 0;
    /// The most recently used first.
    std::list<Dialect::PromptPart> order_;
    std::unordered_map<std::uint64_t, std::list<Dialect::PromptPart>::iterator> byId_;
};

} // namespace LaburnumChute::Dispatch
