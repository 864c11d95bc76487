#pragma once

#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "Dispatch/Dispatch.h"

namespace LaburnumChute::Dispatch {

/// A scheduler in the region "home" with endpoints set by the test and a simulated clock.
class SchedulerTest : public testing::Test
{
protected:
    static constexpr const char *Model = "model";
    static constexpr const char *Plain = "desk";
    static constexpr std::int64_t SharedTokens = 13000;
    static constexpr std::int64_t OwnTokens = 3000;

    SchedulerTest()
        : scheduler_(DispatchOptions(), InstanceId("one"), RegionName("home"), 7, Time())
    {
        Catalog::Bounds bounds;
        bounds.retrySlack = 50;
        bounds.coldOvershoot = 1.5;
        bounds.coldSlack = 3;
        scheduler_.setBounds(bounds);
        Catalog::Service model;
        model.name = ServiceName(Model);
        model.coldTime = seconds(3);
        model.coldRate = 4.5;
        model.engine = Catalog::EngineTraits{8, 300000, true};
        Catalog::Service plain;
        plain.name = ServiceName(Plain);
        scheduler_.setServices({{model.name, model}, {plain.name, plain}}, now_);
    }

    Catalog::ListedEndpoint endpoint(const std::string &id, const char *service, int slots = 8)
    {
        Catalog::ListedEndpoint listed;
        listed.record.id = EndpointId(id);
        listed.record.service = ServiceName(service);
        listed.record.address = id + ":80";
        listed.record.failureDomain = Common::FailureDomainName("zone");
        listed.record.slots = slots;
        return listed;
    }

    void setEndpoints(std::vector<Catalog::ListedEndpoint> endpoints)
    {
        endpoints_ = std::move(endpoints);
        scheduler_.setEndpoints(endpoints_, {}, now_);
    }

    CallFacts facts(const char *service, RequestKind kind = RequestKind::Idempotent)
    {
        CallFacts facts;
        facts.id = nextId_++;
        facts.service = ServiceName(service);
        facts.kind = kind;
        facts.repeatable = kind == RequestKind::Idempotent;
        facts.arrivedAt = now_;
        facts.objectiveAt = now_ + milliseconds(800);
        facts.deadline = now_ + seconds(8);
        facts.maxRuns = 2;
        facts.fingerprint = facts.id;
        return facts;
    }

    /// A request with a large shared part, identified by the number, and a part of its own.
    CallFacts longCall(std::uint64_t sharedPart)
    {
        auto result = facts(Model, RequestKind::Stream);
        result.parts = {{sharedPart, SharedTokens}, {1000000 + result.id, OwnTokens}};
        result.promptTokens = SharedTokens + OwnTokens;
        result.objectiveAt = now_ + milliseconds(1200);
        return result;
    }

    template <typename Kind>
    static const Kind *only(const Effects &effects)
    {
        return effects.size() == 1 ? std::get_if<Kind>(&effects.front()) : nullptr;
    }

    /// Lets the instance "far" of the region "away" report spare capacity of perSecond requests per
    /// second.
    void setSpareCapacityAway(const char *service, int perSecond)
    {
        scheduler_.setFleet({InstanceId("one")}, 2, {RegionName("away")});
        CrossRegionLoadReport loadReport;
        ServiceSpareCapacity spare;
        spare.service = shortId(ServiceName(service));
        spare.endpoints = 4;
        spare.freePerSecond = static_cast<std::uint32_t>(perSecond);
        spare.waitMs = 30;
        loadReport.spareCapacities = {spare};
        scheduler_.setCrossRegionLoadReport(RegionName("away"), InstanceId("far"), loadReport,
                                            now_);
    }

    void pass(milliseconds time)
    {
        now_ += time;
    }

    Scheduler scheduler_;
    Time now_ = Time(seconds(1000));
    CallId nextId_ = 1;
    std::vector<Catalog::ListedEndpoint> endpoints_;
};

} // namespace LaburnumChute::Dispatch
