#include "Dispatch/SoundKeys.h"

#include <algorithm>
#include <utility>

namespace LaburnumChute::Dispatch {

namespace {

constexpr std::size_t MaxKeysPerGeneration = 4096;

} // namespace

void SoundKeys::add(const SuspectKey &key, Time at)
{
    auto &generations = isShared(key) ? shared_ : requests_;
    if (generations.newer.size() >= MaxKeysPerGeneration) {
        generations.older = std::exchange(generations.newer, {});
    }
    auto &known = generations.newer[key];
    known = std::max(known, at);
}

std::optional<Time> SoundKeys::lastServed(const SuspectKey &key, Time now) const
{
    const auto &generations = isShared(key) ? shared_ : requests_;
    for (const auto *generation : {&generations.newer, &generations.older}) {
        const auto found = generation->find(key);
        if (found != generation->end() && now - found->second <= Memory) {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace LaburnumChute::Dispatch
