#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// Names an endpoint in few bytes.
std::uint32_t shortId(const EndpointId &id);
std::uint32_t shortId(const ServiceName &name);

/// Requests of one instance on one endpoint.
struct EndpointUse
{
    std::uint32_t endpoint = 0;
    std::uint16_t inFlight = 0;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, inFlight);
    }
};

/// A large part of a prompt that an endpoint was sent lately.
struct PartPlacement
{
    std::uint32_t endpoint = 0;
    std::uint64_t part = 0;
    std::uint32_t tokens = 0;

    /// For cereal.
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

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, tokens);
    }
};

/// A long prompt that has just been sent to an endpoint. The other instances of the region are told
/// at once: until the next share an engine would get several of them from instances that take it
/// for idle, and each instance would have another engine read the same part.
struct PromptNotice
{
    std::uint32_t endpoint = 0;
    std::uint32_t prefillTokens = 0;
    std::vector<NoticedPart> parts;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, prefillTokens, parts);
    }
};

/// What one instance sent within a few milliseconds.
struct PromptNotices
{
    InstanceId sender;
    std::vector<PromptNotice> prompts;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sender, prompts);
    }
};

/// A request that is suspected of taking endpoints down.
struct SuspectShare
{
    std::uint64_t fingerprint = 0;
    std::vector<std::string> deaths;
    std::uint32_t ageMs = 0;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(fingerprint, deaths, ageMs);
    }
};

/// Latest rate limit statement of an endpoint that an instance knows of.
struct LimitShare
{
    std::uint32_t endpoint = 0;
    bool limited = false;
    double perSecond = 0;
    std::uint32_t ageMs = 0;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, limited, perSecond, ageMs);
    }
};

/// What one instance does for a service.
struct ServiceWork
{
    std::uint32_t service = 0;
    /// Requests that wait there, and the time that they keep one engine or one place busy.
    std::uint16_t waiting = 0;
    std::uint32_t waitingMs = 0;
    std::uint16_t sentPerSecond = 0;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, waiting, waitingMs, sentPerSecond);
    }
};

/// What an instance tells the others of its region.
struct RegionLoadReport
{
    std::vector<EndpointUse> uses;
    std::vector<ServiceWork> services;
    std::vector<PartPlacement> placements;
    std::vector<SuspectShare> suspects;
    std::vector<LimitShare> limits;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(uses, services, placements, suspects, limits);
    }
};

/// What a region could take of one service.
struct ServiceRoom
{
    std::uint32_t service = 0;
    std::uint16_t endpoints = 0;
    /// Requests a second that its free places would take.
    std::uint32_t freePerSecond = 0;
    /// Expected until the first event of a short request.
    std::uint16_t waitMs = 0;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, endpoints, freePerSecond, waitMs);
    }
};

/// What an instance tells those of other regions.
struct CrossRegionLoadReport
{
    std::vector<ServiceRoom> rooms;
    std::vector<PartPlacement> placements;
    std::vector<SuspectShare> suspects;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(rooms, placements, suspects);
    }
};

} // namespace LaburnumChute::Dispatch
