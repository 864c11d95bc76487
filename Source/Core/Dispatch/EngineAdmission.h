#pragma once

#include "Dispatch/Facts.h"
#include "Dispatch/Options.h"

namespace LaburnumChute::Dispatch {

/// Requests of the region's other instances on an engine, according to the engine's own reports.
class ReportedLoad
{
public:
    /// @param own requests of this instance on the engine
    void record(const Dialect::LoadSample &sample, int own, Time now);
    /// Whether the engine has reported its slots and the requests on them.
    bool known() const
    {
        return known_;
    }
    /// Expected requests of other instances.
    /// @param estimated according to the instances' reports
    /// @param holdTime time after which a request that was reported has probably ended
    double others(double estimated, Duration holdTime, Time now) const;

private:
    bool known_ = false;
    double others_ = 0;
    Time at_{};
};

/// Load of an engine that reports it.
struct EngineLoad
{
    /// Requests of all instances, running and waiting.
    double requests = 0;
    int slots = 0;
    /// Mean time that a request holds a slot at present; 0 while it is not known.
    Duration holdTime{0};
};

/// Decides whether an engine that reports its load may get another request.
///
/// Load pattern: a peak with more instances than an engine has slots. With a fixed quota of slots
/// for each instance, slots stay empty while requests are rejected; without any limit, all
/// instances fill the same engines. A request that exceeds the slots by one only waits until the
/// next of many slots becomes free, so a request may be sent while that wait is short compared to
/// its objective.
class EngineAdmission
{
public:
    explicit EngineAdmission(const DispatchOptions &options);

    /// Expected time until another request gets a slot; 0 while the hold time is not known.
    static Duration slotWait(const EngineLoad &load);
    /// @param objective time in which the first event of the request is to arrive
    bool admits(const EngineLoad &load, Duration objective) const;

private:
    const DispatchOptions *options_;
};

} // namespace LaburnumChute::Dispatch
