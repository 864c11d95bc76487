#include "Dispatch/RunPermit.h"

#include <utility>

namespace LaburnumChute::Dispatch {

bool RunPermit::take()
{
    if (held_ || (mayHaveRun_ && !repeatable_)) {
        return false;
    }
    held_ = true;
    return true;
}

void RunPermit::end(AttemptOutcome outcome)
{
    const bool held = std::exchange(held_, false);
    mayHaveRun_ = mayHaveRun_ || (held && !isNotRun(outcome));
}

} // namespace LaburnumChute::Dispatch
