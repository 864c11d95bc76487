#pragma once

#include "Decisions/Facts.h"
#include "Decisions/Options.h"

namespace LaburnumChute::Decisions {

/// How many requests one endpoint should have in flight, from the delay that it shows.
///
/// Load pattern: an endpoint whose real capacity differs from its stated batch limit (long
/// contexts fill its KV cache, a neighbour slows its machine, a plain service states no limit).
/// Without it a fixed number either leaves slots empty or stacks requests in the endpoint's own
/// queue, where order, deadline and cheap removal are lost. The rule is the gradient limiter of
/// Netflix's concurrency-limits ("Gradient2"): limit * (usual delay * tolerance / recent delay),
/// plus a square root of headroom for probing upwards. Delay is measured as a multiple of what the
/// request should have taken by its length and the prefill queued before it, so that long prompts
/// do not look like load: measured against an idle endpoint the limit would shrink under them.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(const ConcurrencyOptions &options);

    /// The endpoint's own word: an upper bound.
    void setBatchLimit(std::int64_t batchLimit);
    /// A first token came after `observedRatio` times the time that was expected as it was sent,
    /// with `inFlight` requests on the endpoint.
    void sample(double observedRatio, double inFlight);

    double value() const
    {
        return limit_;
    }

private:
    double ceiling() const;

    ConcurrencyOptions options_;
    double stated_ = 0;
    double limit_;
    double recent_ = 0;
    double usual_ = 0;
};

} // namespace LaburnumChute::Decisions
