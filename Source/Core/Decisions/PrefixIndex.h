#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "Decisions/Facts.h"

namespace LaburnumChute::Decisions {

/// Index of an endpoint in EndpointTable.
using EndpointHandle = std::uint32_t;

/// Prompt tokens per cached block, as defined in docs/PROTOCOLS.md.
inline constexpr std::int64_t BlockTokens = 64;

struct PrefixHolder
{
    EndpointHandle handle = 0;
    std::int64_t cachedTokens = 0;
};

/// Endpoints that probably hold a prompt's prefix, longest prefix first. A few suffice.
struct PrefixHolders
{
    static constexpr std::size_t MaxHolders = 16;
    std::array<PrefixHolder, MaxHolders> holders;
    std::size_t count = 0;

    std::int64_t cachedTokens(EndpointHandle handle) const;
};

/// Records which endpoint holds which prompt prefixes, according to this instance's own requests
/// and the endpoints' cache events.
///
/// Load pattern: repeated drafts and the prompts of one conversation share most of their tokens.
/// Without the index each attempt pays for the whole prefill on another endpoint and evicts another
/// caller's prefix there. The entries are hints: events are late and incomplete, so entries are
/// evicted in least recently used order, and a wrong hint only costs one prefill.
class PrefixIndex
{
public:
    explicit PrefixIndex(std::size_t maxEntries);

    void stored(EndpointHandle handle, std::uint64_t block);
    void stored(EndpointHandle handle, const std::vector<std::uint64_t> &blocks);
    void evicted(EndpointHandle handle, std::uint64_t block);
    /// Removes all entries of an endpoint that died or left and whose cache is lost.
    void forget(EndpointHandle handle);

    PrefixHolders holders(const std::vector<std::uint64_t> &blocks) const;
    std::size_t size() const
    {
        return byLastUse_.size();
    }

private:
    struct Entry
    {
        std::uint64_t block = 0;
        EndpointHandle handle = 0;
    };
    using Position = std::list<Entry>::iterator;

    void erase(Position position);

    std::size_t maxEntries_;
    /// Least recently used entry first.
    std::list<Entry> byLastUse_;
    std::unordered_map<std::uint64_t, std::vector<Position>> byBlock_;
};

} // namespace LaburnumChute::Decisions
