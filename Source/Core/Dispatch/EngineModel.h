#pragma once

#include "Dispatch/Options.h"

namespace LaburnumChute::Dispatch {

/// Prefill and generation speed of a service's engines, learned from their answers.
class EngineModel
{
public:
    explicit EngineModel(const DispatchOptions &options);

    /// Time to prefill the tokens on an engine without other prefill.
    Duration prefillTime(std::int64_t tokens) const;
    /// Records the time to the first event of a prompt that was sent to an engine without other
    /// prefill.
    void samplePrefill(std::int64_t tokens, Duration firstEvent);
    /// Records the expected and the actual time that an engine took to prefill prompts without a
    /// pause.
    void sampleBusyPrefill(Duration expected, Duration took);
    /// Time to prefill the tokens on an engine that also generates answers.
    Duration busyPrefillTime(std::int64_t tokens) const;
    double tokensPerMillisecond() const
    {
        return rate_;
    }

    /// Records the expected tokens and the number of events of an answer that has ended.
    void answerSeen(std::int64_t expectedTokens, int events);
    /// Expected number of events of an answer with the given number of tokens; 0 until some answers
    /// have shown how many tokens are in an event.
    double expectedEvents(std::int64_t expectedTokens) const;
    /// Records the pause between events of some engine of the service.
    void paceSeen(Duration pause);
    /// Pause between the events of an engine with little other work; 0 until some were observed.
    Duration fastestPause() const
    {
        return fastestPause_;
    }

    /// An engine of the service has reported its load.
    void loadReported()
    {
        reportsLoad_ = true;
    }
    bool reportsLoad() const
    {
        return reportsLoad_;
    }

    /// Records the time for which a request has held a slot, without its wait for it.
    void holdSeen(Duration held);
    /// Mean time that a request holds a slot; 0 until some have ended.
    Duration holdTime() const
    {
        return holdTime_;
    }

private:
    Duration holdTime_{0};
    int holdSamples_ = 0;
    bool reportsLoad_ = false;
    Duration floor_;
    double rate_;
    double prefillFraction_;
    /// Number of measured prefills on idle engines.
    int rateSamples_ = 0;
    /// Decaying sums over answers.
    double expectedTokens_ = 0;
    double events_ = 0;
    Duration fastestPause_{0};
};

} // namespace LaburnumChute::Dispatch
