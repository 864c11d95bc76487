#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "Decisions/Facts.h"

namespace LaburnumChute::Decisions {

/// Position of an endpoint in the scheduler's table.
using EndpointHandle = std::uint32_t;

/// Prompt tokens of one cached block, as docs/PROTOCOLS.md cuts prompts.
inline constexpr std::int64_t BlockTokens = 64;

struct PrefixHolder
{
    EndpointHandle handle = 0;
    std::int64_t cachedTokens = 0;
};

/// The endpoints that are thought to hold a prompt's prefix, deepest first; few suffice.
struct PrefixHolders
{
    static constexpr std::size_t Most = 16;
    std::array<PrefixHolder, Most> holders;
    std::size_t count = 0;

    std::int64_t cachedTokens(EndpointHandle handle) const;
};

/// Which endpoint holds which prompt prefix, as far as known from own sends and cache events.
///
/// Load pattern: retyped drafts and prompt lines of one call share most of their prompt. Without
/// the index each try pays the whole prefill on another endpoint and evicts somebody else's prefix
/// there. The knowledge is a hint: events come late and with gaps, so entries age out in the order
/// of last use, and a wrong hint costs one prefill and nothing else.
class PrefixIndex
{
public:
    explicit PrefixIndex(std::size_t maxEntries);

    void stored(EndpointHandle handle, std::uint64_t block);
    void stored(EndpointHandle handle, const std::vector<std::uint64_t> &blocks);
    void evicted(EndpointHandle handle, std::uint64_t block);
    /// Drops all entries of an endpoint that died or left: its cache is gone.
    void forget(EndpointHandle handle);

    PrefixHolders holders(const std::vector<std::uint64_t> &blocks) const;
    std::size_t size() const
    {
        return byAge_.size();
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
    /// The last used entry is at the back.
    std::list<Entry> byAge_;
    std::unordered_map<std::uint64_t, std::vector<Position>> byBlock_;
};

} // namespace LaburnumChute::Decisions
