#include "Readers/ConfigurationReader.h"

#include <nlohmann/json.hpp>

namespace LaburnumChute::Readers {

namespace {

using nlohmann::json;

/// What the answer may take beyond the wait that was asked for. A connection that has gone silent
/// would otherwise be waited on for ever, and new versions would not be seen.
constexpr Common::milliseconds AnswerMargin{2000};

} // namespace

asio::awaitable<Common::Result<std::optional<PublishedVersion>>>
ConfigurationReader::read(Common::ConfigurationNumber after, Common::milliseconds wait) const
{
    HttpQuery query;
    query.address = address_;
    query.target = fmt::format("/v1/configuration?after={}&wait_ms={}", after, wait.count());
    query.timeout = wait + AnswerMargin;
    const auto answer = co_await fetch(std::move(query));
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    if (answer->status == 304) {
        co_return std::optional<PublishedVersion>();
    }
    const auto document = json::parse(answer->body, nullptr, false);
    const bool complete = answer->status == 200 && document.is_object()
                          && document.contains("number") && document["number"].is_number_unsigned()
                          && document.contains("content");
    if (!complete) {
        co_return Common::makeError(
            Common::ErrorCode::ProtocolViolation,
            fmt::format("the configuration service answered {} without a version", answer->status));
    }
    PublishedVersion version;
    version.number = document["number"].get<Common::ConfigurationNumber>();
    version.content = document["content"].dump();
    co_return std::optional<PublishedVersion>(std::move(version));
}

} // namespace LaburnumChute::Readers
