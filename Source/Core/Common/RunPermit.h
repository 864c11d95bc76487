#pragma once

#include "Common/Error.h"

namespace LaburnumChute::Common {

/// The right to run a request. It is given to one attempt at a time and decides whether anything
/// may be sent: whoever sends the request, at the instance that accepted it and at the one that it
/// was forwarded to, takes the permit before the first byte is written.
///
/// A request that is not repeatable gets the permit back only after an attempt that provably has
/// not run. An attempt that ended in any other way keeps it.
class RunPermit
{
public:
    explicit RunPermit(bool repeatable)
        : repeatable_(repeatable)
    {
    }

    /// Takes the permit for an attempt. If it returns false, nothing may be sent.
    [[nodiscard]] bool take();
    /// The attempt that holds the permit has ended. Without effect if none holds it, as after an
    /// attempt by which nothing was sent.
    void end(RunState state);
    /// Some attempt may have run the request, or may run it now.
    bool mayHaveRun() const
    {
        return held_ || mayHaveRun_;
    }

private:
    bool repeatable_;
    bool held_ = false;
    /// An attempt ended without proof that it has not run.
    bool mayHaveRun_ = false;
};

} // namespace LaburnumChute::Common
