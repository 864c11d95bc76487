#include "Platform/WeightStoreReader.h"

#include <nlohmann/json.hpp>

namespace LaburnumChute::Platform {

asio::awaitable<Common::Result<WeightStoreLimits>> WeightStoreReader::readLimits() const
{
    HttpQuery query;
    query.address = address_;
    query.target = "/v1/limits";
    const auto answer = co_await fetch(std::move(query));
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    const auto document = nlohmann::json::parse(answer->body, nullptr, false);
    WeightStoreLimits limits;
    const auto loads = document.is_object() ? document.find("loads_per_minute") : document.end();
    if (answer->status != 200 || !document.is_object() || loads == document.end()
        || !loads->is_number()) {
        co_return Common::makeError(Common::ErrorCode::ProtocolViolation,
                                    "the weight store answered without its limits");
    }
    limits.loadsPerMinute = loads->get<double>();
    const auto rate = document.find("megabits_per_second");
    limits.megabitsPerSecond =
        rate != document.end() && rate->is_number() ? rate->get<double>() : 0;
    co_return limits;
}

} // namespace LaburnumChute::Platform
