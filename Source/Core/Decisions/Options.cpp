#include "Decisions/Options.h"

#include <limits>

namespace LaburnumChute::Decisions {

SchedulerOptions baselineOptions(RoutingPolicy policy)
{
    SchedulerOptions options;
    options.routing.policy = policy;
    options.admission.enabled = false;
    options.spill.enabled = false;
    options.queue.order = FifoOrder{};
    options.queue.limit = std::numeric_limits<std::size_t>::max();
    options.retry.hedgeAfter = 0;
    options.ejection.maxEjectedFraction = 0;
    return options;
}

} // namespace LaburnumChute::Decisions
