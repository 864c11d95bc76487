#include "Dispatch/SuspectKey.h"

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

std::string_view toString(SuspectKind kind)
{
    switch (kind) {
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

std::vector<SuspectKey> suspectKeys(const CallFacts &facts)
{
    std::vector<SuspectKey> keys = {{SuspectKind::Request, facts.fingerprint}};
    if (facts.contentFingerprint != 0) {
        keys.push_back({SuspectKind::Content, facts.contentFingerprint});
    }
    return keys;
}

} // namespace LaburnumChute::Dispatch
