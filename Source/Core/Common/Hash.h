#pragma once

#include <cstdint>
#include <string_view>

namespace LaburnumChute::Common {

/// 64-bit hash (XXH3) that is the same in all processes and releases.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Weight of a candidate for a key under rendezvous hashing: the candidate with the highest weight
/// gets the key, and the loss of a candidate moves only its own keys.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace LaburnumChute::Common
