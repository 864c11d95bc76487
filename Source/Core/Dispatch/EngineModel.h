#pragma once

#include "Dispatch/Options.h"

namespace LaburnumChute::Dispatch {

/// How fast the engines of a service read prompts, learnt from answers.
class EngineModel
{
public:
    explicit EngineModel(const DispatchOptions &options);

    /// Time to read so many tokens on an engine that reads nothing else.
    Duration readTime(std::int64_t tokens) const;
    /// A first event came this long after a prompt went to an engine with nothing else to read.
    void sample(std::int64_t tokens, Duration firstEvent);
    double tokensPerMillisecond() const
    {
        return rate_;
    }

private:
    Duration floor_;
    double rate_;
};

} // namespace LaburnumChute::Dispatch
