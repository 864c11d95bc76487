#include "Dispatch/LoadReports.h"

namespace LaburnumChute::Dispatch {

std::uint32_t shortId(const EndpointId &id)
{
    return static_cast<std::uint32_t>(Common::stableHash(id.text()));
}

std::uint32_t shortId(const ServiceName &name)
{
    return static_cast<std::uint32_t>(Common::stableHash(name.text()));
}

} // namespace LaburnumChute::Dispatch
