#pragma once

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace LaburnumChute::Dispatch {

struct CallFacts;

/// What requests that crash endpoints may have in common, the less specific first.
enum class SuspectKind : std::uint8_t {
    /// Customer, path and body.
    Content,
    /// As above, with the method and the query.
    Request,
};

std::string_view toString(SuspectKind kind);

/// Identifies what a crash may be put down to.
struct SuspectKey
{
    SuspectKind kind = SuspectKind::Request;
    std::uint64_t value = 0;

    auto operator<=>(const SuspectKey &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(kind, value);
    }
};

/// Whether unlike requests may have the key in common.
bool isShared(const SuspectKey &key);

/// Keys of a request, the most specific first.
std::vector<SuspectKey> suspectKeys(const CallFacts &facts);

} // namespace LaburnumChute::Dispatch
