// The decoder of usage reports, and the limiter that applies them. Whatever arrives, a report must
// not raise what the limit still allows.

#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "Customers/Customers.h"
#include "Peers/ValueCodec.h"

namespace {

using namespace LaburnumChute;

constexpr double Rounding = 1e-3;

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto report = Peers::decodeValue<Customers::UsageReport>(bytes);
    if (!report) {
        return 0;
    }
    Customers::Customer customer;
    customer.name = Common::CustomerName("school");
    customer.limit = Customers::UsageLimit{1000, 1000};
    Customers::UsageLimiter limiter(Customers::UsageLimiterOptions(), 5);
    Common::Time now{Common::seconds(100)};
    limiter.setBounds(Common::seconds(8), 0);
    limiter.setCustomers({customer}, now);
    const double before = limiter.status(customer.name, now)->remaining;
    limiter.setInstanceReport(Common::InstanceId("one"), *report, now);
    limiter.setRegionReport(Common::RegionName("south"), *report, now);
    (void)limiter.regionReport(now);
    limiter.setInstances({}, report->instances, now + Common::seconds(2));
    limiter.removeInstance(Common::InstanceId("one"), now + Common::seconds(2));
    // Two seconds of the usage that is assumed at the start have left the window.
    const double left = 2 * 9000.0 / 8;
    if (limiter.status(customer.name, now)->remaining > before + left + Rounding) {
        std::abort();
    }
    return 0;
}
