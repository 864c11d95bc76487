#include "Readers/WeightStoreReader.h"

#include <algorithm>

#include "Common/Json.h"

namespace LaburnumChute::Readers {

namespace {

using nlohmann::json;

/// The member's value if it is a positive number, otherwise 0.
double positiveOrZero(const json &document, const char *member)
{
    if (!document.is_object()) {
        return 0;
    }
    const auto found = document.find(member);
    return found != document.end() && found->is_number() ? std::max(0.0, found->get<double>()) : 0;
}

} // namespace

asio::awaitable<Common::Result<WeightStoreLimits>> WeightStoreReader::readLimits() const
{
    HttpClientRequest request;
    request.address = address_;
    request.target = "/v1/limits";
    const auto response = co_await fetch(std::move(request));
    if (!response) {
        co_return tl::unexpected(response.error());
    }
    const auto document = Common::parseJson(response->body);
    const WeightStoreLimits limits{positiveOrZero(document, "loads_per_minute"),
                                   positiveOrZero(document, "megabits_per_second")};
    if (response->status != 200 || limits.loadsPerMinute == 0 || limits.megabitsPerSecond == 0) {
        co_return Common::makeError(
            Common::ErrorCode::ProtocolViolation,
            fmt::format("the weight store responded with status {}; expected "
                        "loads_per_minute and megabits_per_second above 0",
                        response->status));
    }
    co_return limits;
}

} // namespace LaburnumChute::Readers
