#include "Dispatch/EngineAdmission.h"

#include <algorithm>
#include <cmath>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

void ReportedLoad::record(const Dialect::LoadSample &sample, int own, Time now)
{
    if (sample.slots <= 0 || sample.running < 0 || sample.waiting < 0) {
        return;
    }
    known_ = true;
    const auto requests = static_cast<double>(sample.running) + sample.waiting;
    others_ = std::max(0.0, requests - own);
    at_ = now;
}

double ReportedLoad::others(double estimated, Duration holdTime, Time now) const
{
    if (!known_) {
        return estimated;
    }
    // A request that was reported is still there with this probability.
    const double weight =
        std::exp(-Common::toSeconds(now - at_) / std::max(1e-3, Common::toSeconds(holdTime)));
    return weight * others_ + (1 - weight) * estimated;
}

EngineAdmission::EngineAdmission(const DispatchOptions &options)
    : options_(&options)
{
}

Duration EngineAdmission::slotWait(const EngineLoad &load)
{
    const double excess = load.requests + 1 - load.slots;
    return excess > 0 && load.slots > 0 ? scaled(load.holdTime, excess / load.slots) : Duration(0);
}

bool EngineAdmission::admits(const EngineLoad &load, Duration objective) const
{
    if (load.requests + 1 <= load.slots) {
        return true;
    }
    return load.holdTime > Duration(0)
           && slotWait(load) <= scaled(objective, options_->waitFraction);
}

} // namespace LaburnumChute::Dispatch
