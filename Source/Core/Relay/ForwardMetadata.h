#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Dispatch/Dispatch.h"

namespace LaburnumChute::Relay {

/// Metadata that an instance sends along with a request that it forwards to another instance. The
/// receiver does not look up a route: it may have another version of the configuration, and a
/// request keeps the version under which it was accepted.
struct ForwardMetadata
{
    std::string service;
    std::uint8_t kind = 0;
    bool resumable = false;
    std::int32_t priority = 0;
    std::int32_t attempts = 1;
    /// Time left until the objective (negative if it has passed) and until the caller's deadline.
    std::int64_t objectiveLeftMs = 0;
    std::int64_t deadlineLeftMs = 0;
    std::int64_t objectiveMs = 0;
    std::int64_t gapMs = 0;
    std::uint64_t fingerprint = 0;
    std::uint64_t contentFingerprint = 0;
    std::string fromRegion;
    /// Name of the customer that the request is served for; empty if there is none.
    std::string customer;
    /// Incarnation of the receiving process. Callers do not know it, and an address may have been
    /// reused by another process.
    std::uint64_t receiver = 0;
    /// The sender is an instance of the same region that reaches no endpoint of the service.
    bool handedOver = false;

    /// Serializes the fields for cereal. Their order is part of the wire format.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, kind, resumable, priority, attempts, objectiveLeftMs, deadlineLeftMs,
                objectiveMs, gapMs, fingerprint, contentFingerprint, fromRegion, customer, receiver,
                handedOver);
    }
};

/// Header that carries the metadata in hexadecimal.
inline constexpr const char *ForwardHeader = "Laburnumchute-Forward";
/// Response header that states whether a forwarded request that failed may have run: "not-run" or
/// "unknown".
inline constexpr const char *RunStateHeader = "Laburnumchute-Run-State";
inline constexpr const char *RunStateNotRun = "not-run";
inline constexpr const char *RunStateUnknown = "unknown";

std::string encodeForwardMetadata(const ForwardMetadata &metadata);
Common::Result<ForwardMetadata> decodeForwardMetadata(const std::string &text);

} // namespace LaburnumChute::Relay
