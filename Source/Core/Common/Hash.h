#pragma once

#include <cstdint>
#include <string_view>

namespace LaburnumChute::Common {

/// A 64-bit hash that is the same in every process and release (XXH3).
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// The weight of a candidate for a key under rendezvous hashing: the highest weight wins, and the
/// loss of one candidate moves only the keys it held.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace LaburnumChute::Common
