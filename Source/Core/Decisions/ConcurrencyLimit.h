#pragma once

#include "Decisions/Facts.h"
#include "Decisions/Options.h"

namespace LaburnumChute::Decisions {

/// Limit on the requests in flight on one endpoint, derived from the observed delay.
///
/// Load pattern: an endpoint whose capacity differs from its reported batch limit (long contexts
/// fill its KV cache, another process slows its machine, a plain service reports no limit). A fixed
/// limit would either leave slots empty or queue requests on the endpoint, where they cannot be
/// reordered, expired or removed cheaply. The rule is the gradient limiter of Netflix's
/// concurrency-limits ("Gradient2"): limit * (baseline delay * tolerance / recent delay), plus a
/// square root of headroom for probing upwards. The delay is measured relative to the time expected
/// for the request's length and the prefill queued before it, so that long prompts do not look like
/// load: relative to an idle endpoint the limit would shrink under them.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(const ConcurrencyOptions &options);

    /// Sets the batch limit that the endpoint reported; an upper bound.
    void setBatchLimit(std::int64_t batchLimit);
    /// Records a first token that took `observedRatio` times the time expected when the request was
    /// sent, with `inFlight` requests on the endpoint.
    void sample(double observedRatio, double inFlight);

    double value() const
    {
        return limit_;
    }

private:
    double ceiling() const;

    ConcurrencyOptions options_;
    double batchLimit_ = 0;
    double limit_;
    double recent_ = 0;
    double baseline_ = 0;
};

} // namespace LaburnumChute::Decisions
