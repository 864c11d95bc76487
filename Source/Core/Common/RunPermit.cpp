#include "Common/RunPermit.h"

#include <utility>

namespace LaburnumChute::Common {

bool RunPermit::take()
{
    if (held_ || (mayHaveRun_ && !repeatable_)) {
        return false;
    }
    held_ = true;
    return true;
}

void RunPermit::end(RunState state)
{
    const bool held = std::exchange(held_, false);
    mayHaveRun_ = mayHaveRun_ || (held && state != RunState::NotRun);
}

} // namespace LaburnumChute::Common
