#pragma once

// Messages between instances, encoded with cereal. The order, number and types of the fields in
// each serialize() are part of the protocol.

#include <cstdint>
#include <string>
#include <vector>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// Hash of an id or a name that identifies it in messages in fewer bytes.
std::uint32_t shortId(const EndpointId &id);
std::uint32_t shortId(const ServiceName &name);

/// Number of one instance's requests on one endpoint.
struct EndpointUse
{
    std::uint32_t endpoint = 0;
    std::uint16_t inFlight = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, inFlight);
    }
};

/// A large part of a prompt that was recently sent to an endpoint.
struct PartPlacement
{
    std::uint32_t endpoint = 0;
    std::uint64_t part = 0;
    std::uint32_t tokens = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, part, tokens);
    }
};

/// A large part of a prompt.
struct NoticedPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, tokens);
    }
};

/// A long prompt that has just been sent to an endpoint. It is announced to the region's other
/// instances at once: before the next load report, instances that see the engine as idle would send
/// it several such prompts, and each instance would have a different engine prefill the same part.
struct PromptNotice
{
    std::uint32_t endpoint = 0;
    std::uint32_t prefillTokens = 0;
    std::vector<NoticedPart> parts;
    /// Endpoint from which tokens of the prompt are copied, and their number; 0 for none.
    std::uint32_t source = 0;
    std::uint32_t copiedTokens = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, prefillTokens, parts, source, copiedTokens);
    }
};

/// Prompts that one instance sent within a few milliseconds.
struct PromptNotices
{
    InstanceId sender;
    std::vector<PromptNotice> prompts;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sender, prompts);
    }
};

/// A run of an endpoint on which an attempt broke off.
struct CrashReport
{
    std::uint64_t run = 0;
    std::uint32_t ageMs = 0;
    /// The run is known to have ended.
    bool ended = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(run, ageMs, ended);
    }
};

/// A key that is suspected of crashing endpoints.
struct SuspectReport
{
    SuspectKey key;
    std::vector<CrashReport> crashes;
    /// Parts of prompts that all requests with the key which broke off had in common.
    std::vector<SuspectKey> companions;
    /// An endpoint has served a request with the key shortly before, so it is no suspect.
    bool served = false;
    std::uint32_t servedAgeMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, crashes, companions, served, servedAgeMs);
    }
};

/// Requests that the sender has just begun to reject since endpoints crashed under them. Until the
/// next load report, other instances would send them to further endpoints. A receiver in another
/// region relays them to its own.
struct SuspectNotices
{
    /// Region of the sender, or of the instance that relays them.
    RegionName region;
    std::vector<SuspectReport> suspects;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(region, suspects);
    }
};

/// Latest rate limit statement of an endpoint that an instance knows of.
struct LimitReport
{
    std::uint32_t endpoint = 0;
    bool limited = false;
    double perSecond = 0;
    std::uint32_t ageMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, limited, perSecond, ageMs);
    }
};

/// Latest statement of a service's endpoints on whether they are brittle.
struct BrittleReport
{
    std::uint32_t service = 0;
    bool brittle = false;
    std::uint32_t ageMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, brittle, ageMs);
    }
};

/// Figure by which an endpoint stated how long work takes on its machine, see WorkFigure.
struct SpeedReport
{
    std::uint32_t endpoint = 0;
    std::uint16_t percent = 0;
    std::uint16_t ageMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, percent, ageMs);
    }
};

/// Work of one instance for a service.
struct ServiceWork
{
    std::uint32_t service = 0;
    /// Queued requests, and the time for which they would occupy one engine or one slot of a plain
    /// endpoint.
    std::uint16_t waiting = 0;
    std::uint32_t waitingMs = 0;
    std::uint16_t sentPerSecond = 0;
    /// Short streams in progress, see StreamGrouping.
    std::uint16_t shortStreams = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, waiting, waitingMs, sentPerSecond, shortStreams);
    }
};

/// Ended streams of one class, see PauseModel.
struct PauseClassReport
{
    std::uint16_t streams = 0;
    std::uint16_t paused = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(streams, paused);
    }
};

/// Streams of a service that the sender itself has seen end, by the largest prompt beside them.
struct PauseReport
{
    std::uint32_t service = 0;
    std::vector<PauseClassReport> classes;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, classes);
    }
};

/// Load report for the other instances of the region.
struct RegionLoadReport
{
    std::vector<EndpointUse> uses;
    std::vector<ServiceWork> services;
    std::vector<PartPlacement> placements;
    std::vector<SuspectReport> suspects;
    std::vector<LimitReport> limits;
    /// Services of which the sender reaches no endpoint.
    std::vector<std::uint32_t> unreachableServices;
    std::vector<BrittleReport> brittle;
    /// Figures that the sender itself received since its last report, newest first.
    std::vector<SpeedReport> speeds;
    std::vector<PauseReport> pauses;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(uses, services, placements, suspects, limits, unreachableServices, brittle, speeds,
                pauses);
    }
};

/// Spare capacity of a region for one service.
struct ServiceSpareCapacity
{
    std::uint32_t service = 0;
    std::uint16_t endpoints = 0;
    /// Requests per second that its free slots could serve.
    std::uint32_t freePerSecond = 0;
    /// Expected time until the first event of a short request.
    std::uint16_t waitMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, endpoints, freePerSecond, waitMs);
    }
};

/// Load report for instances of other regions.
struct CrossRegionLoadReport
{
    std::vector<ServiceSpareCapacity> spareCapacities;
    std::vector<PartPlacement> placements;
    std::vector<SuspectReport> suspects;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(spareCapacities, placements, suspects);
    }
};

} // namespace LaburnumChute::Dispatch
