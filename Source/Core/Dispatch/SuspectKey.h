#pragma once

#include <compare>
#include <cstdint>
#include <string_view>
#include <tuple>
#include <vector>

namespace LaburnumChute::Dispatch {

struct CallFacts;

/// What requests that crash endpoints may have in common, the less specific first.
enum class SuspectKind : std::uint8_t {
    /// A part of the prompt, at a service.
    Part,
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
    /// Position of a part in the prompt, which does not identify it.
    std::uint16_t position = 0;

    bool operator==(const SuspectKey &other) const
    {
        return kind == other.kind && value == other.value;
    }
    std::strong_ordering operator<=>(const SuspectKey &other) const
    {
        return std::tie(kind, value) <=> std::tie(other.kind, other.value);
    }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(kind, value, position);
    }
};

/// Whether unlike requests may have the key in common.
bool isShared(const SuspectKey &key);

/// Whether requests with the first key are mostly some of those with the second one. A later part
/// of a prompt is more specific than an earlier one, with which many prompts begin.
bool isMoreSpecific(const SuspectKey &one, const SuspectKey &other);

/// Keys of a request, the most specific first. The last part of a prompt belongs to the request
/// alone and is none.
std::vector<SuspectKey> suspectKeys(const CallFacts &facts);

} // namespace LaburnumChute::Dispatch
