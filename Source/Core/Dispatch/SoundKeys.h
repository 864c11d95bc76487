#pragma once

#include <map>
#include <optional>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// Remembers which keys endpoints have served shortly before, in bounded memory: when half of it is
/// used, the older half is forgotten.
class SoundKeys
{
public:
    /// Requests that were served within this time are no suspects.
    static constexpr seconds Memory{20};

    /// @param at when it was served; times of peers may be earlier than what is known
    void add(const SuspectKey &key, Time at);
    /// When the key was last served, if that is recent.
    std::optional<Time> lastServed(const SuspectKey &key, Time now) const;

private:
    /// A request that many others follow must not push out a part that all of them share.
    struct Generations
    {
        std::map<SuspectKey, Time> newer;
        std::map<SuspectKey, Time> older;
    };

    Generations shared_;
    Generations requests_;
};

} // namespace LaburnumChute::Dispatch
