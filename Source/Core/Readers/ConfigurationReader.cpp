#include "Readers/ConfigurationReader.h"

#include "Common/Json.h"

namespace LaburnumChute::Readers {

namespace {

using nlohmann::json;

/// Added to the requested wait to get the client timeout. Without a timeout, a connection that has
/// gone silent would block the reader for ever and hide new versions.
constexpr Common::milliseconds LongPollMargin{2000};

} // namespace

asio::awaitable<Common::Result<std::optional<PublishedVersion>>>
ConfigurationReader::read(Common::ConfigurationNumber after, Common::milliseconds wait) const
{
    HttpClientRequest request;
    request.address = address_;
    request.target = fmt::format("/v1/configuration?after={}&wait_ms={}", after, wait.count());
    request.timeout = wait + LongPollMargin;
    const auto response = co_await fetch(std::move(request));
    if (!response) {
        co_return tl::unexpected(response.error());
    }
    if (response->status == 304) {
        co_return std::optional<PublishedVersion>();
    }
    const auto document = Common::parseJson(response->body);
    const bool isVersion = response->status == 200 && document.is_object()
                           && document.contains("number") && document["number"].is_number_unsigned()
                           && document.contains("content");
    if (!isVersion) {
        co_return Common::makeError(
            Common::ErrorCode::ProtocolViolation,
            fmt::format("the configuration service responded with status {} and no version",
                        response->status));
    }
    PublishedVersion version;
    version.number = document["number"].get<Common::ConfigurationNumber>();
    version.content = document["content"].dump();
    co_return std::optional<PublishedVersion>(std::move(version));
}

} // namespace LaburnumChute::Readers
