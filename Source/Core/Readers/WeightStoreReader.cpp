#include "Readers/WeightStoreReader.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace LaburnumChute::Readers {

namespace {

using nlohmann::json;

/// A number above 0, else 0.
double positive(const json &document, const char *member)
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
    HttpQuery query;
    query.address = address_;
    query.target = "/v1/limits";
    const auto answer = co_await fetch(std::move(query));
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    const auto document = json::parse(answer->body, nullptr, false);
    const WeightStoreLimits limits{positive(document, "loads_per_minute"),
                                   positive(document, "megabits_per_second")};
    if (answer->status != 200 || limits.loadsPerMinute == 0 || limits.megabitsPerSecond == 0) {
        co_return Common::makeError(Common::ErrorCode::ProtocolViolation,
                                    fmt::format("the weight store answered {}; expected "
                                                "loads_per_minute and megabits_per_second above 0",
                                                answer->status));
    }
    co_return limits;
}

} // namespace LaburnumChute::Readers
