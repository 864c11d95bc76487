#include "Decisions/Facts.h"

namespace LaburnumChute::Decisions {

Target Target::model(const ModelName &model, AdapterName adapter)
{
    return {TargetKind::Model, model.text(), std::move(adapter)};
}

Target Target::service(const ServiceName &service)
{
    return {TargetKind::Service, service.text(), {}};
}

Target Target::base() const
{
    return {kind, name, {}};
}

std::string toString(const Target &target)
{
    const std::string kind = target.kind == TargetKind::Model ? "model/" : "service/";
    const std::string adapter = target.adapter.empty() ? "" : "+" + target.adapter.text();
    return kind + target.name + adapter;
}

std::string_view toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::CustomerShare:
        return "customer share used";
    case RefusalReason::DeadlineTooClose:
        return "deadline too close";
    case RefusalReason::NoEndpoint:
        return "no endpoint";
    case RefusalReason::Residency:
        return "residency";
    case RefusalReason::Quarantined:
        return "quarantined";
    case RefusalReason::Failed:
        return "failed";
    case RefusalReason::TimedOut:
        return "timed out";
    }
    return "";
}

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return "completed";
    case Outcome::Cancelled:
        return "cancelled";
    case Outcome::NotStarted:
        return "not started";
    case Outcome::Failed:
        return "failed";
    case Outcome::EndpointDied:
        return "endpoint died";
    case Outcome::TimedOut:
        return "timed out";
    }
    return "";
}

} // namespace LaburnumChute::Decisions
