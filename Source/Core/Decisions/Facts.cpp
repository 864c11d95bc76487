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

std::string_view toString(RejectReason reason)
{
    switch (reason) {
    case RejectReason::Overloaded:
        return "overloaded";
    case RejectReason::CustomerShare:
        return "customer share used";
    case RejectReason::DeadlineTooClose:
        return "deadline too close";
    case RejectReason::NoEndpoint:
        return "no endpoint";
    case RejectReason::Residency:
        return "residency";
    case RejectReason::Quarantined:
        return "quarantined";
    case RejectReason::Failed:
        return "failed";
    case RejectReason::TimedOut:
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
