#include "Dispatch/SuspectKey.h"

#include <algorithm>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Bounds the work for prompts with very many parts.
constexpr std::size_t MaxParts = 32;

} // namespace

std::string_view toString(SuspectKind kind)
{
    switch (kind) {
    case SuspectKind::Part:
        return "part";
    case SuspectKind::Content:
        return "content";
    case SuspectKind::Request:
        return "request";
    }
    return "unknown";
}

bool isShared(const SuspectKey &key)
{
    return key.kind != SuspectKind::Request;
}

bool isMoreSpecific(const SuspectKey &one, const SuspectKey &other)
{
    return std::tie(one.kind, one.position) > std::tie(other.kind, other.position);
}

std::vector<SuspectKey> suspectKeys(const CallFacts &facts)
{
    std::vector<SuspectKey> keys = {{SuspectKind::Request, facts.fingerprint}};
    if (facts.contentFingerprint != 0) {
        keys.push_back({SuspectKind::Content, facts.contentFingerprint});
    }
    const auto shared = facts.parts.empty() ? 0 : facts.parts.size() - 1;
    for (std::size_t position = std::min(shared, MaxParts); position > 0; --position) {
        const auto value = Common::stableHash(facts.service.text(), facts.parts[position - 1].id);
        keys.push_back({SuspectKind::Part, value, static_cast<std::uint16_t>(position)});
    }
    return keys;
}

} // namespace LaburnumChute::Dispatch
