#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Dispatch/Dispatch.h"

namespace LaburnumChute::Relay {

/// What an instance tells another one of a request that it forwards. The receiver looks up no
/// route: it may know another version of the configuration, and the request keeps the one it came
/// in under.
struct ForwardMetadata
{
    std::string service;
    std::uint8_t kind = 0;
    bool resumable = false;
    std::int32_t priority = 0;
    std::int32_t attempts = 1;
    /// What is left of the objective, negative once it has passed, and of the time that the caller
    /// waits.
    std::int64_t objectiveLeftMs = 0;
    std::int64_t deadlineLeftMs = 0;
    std::int64_t objectiveMs = 0;
    std::int64_t gapMs = 0;
    std::uint64_t fingerprint = 0;
    std::string fromRegion;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, kind, resumable, priority, attempts, objectiveLeftMs, deadlineLeftMs,
                objectiveMs, gapMs, fingerprint, fromRegion);
    }
};

/// Header in which the note travels, in hexadecimal.
inline constexpr const char *ForwardHeader = "Laburnumchute-Forward";
/// Header by which an instance tells another what is known of a request that it did not answer:
/// "not-run" or "unknown".
inline constexpr const char *RunStateHeader = "Laburnumchute-Run-State";
inline constexpr const char *RunStateNotRun = "not-run";
inline constexpr const char *RunStateUnknown = "unknown";

std::string encodeForwardMetadata(const ForwardMetadata &metadata);
Common::Result<ForwardMetadata> decodeForwardMetadata(const std::string &text);

} // namespace LaburnumChute::Relay
