#include "Readers/InstanceListReader.h"

namespace LaburnumChute::Readers {

namespace {

constexpr std::size_t ListLimitBytes = 16UL * 1024 * 1024;

} // namespace

asio::awaitable<Common::Result<InstanceList>> InstanceListReader::read() const
{
    HttpClientRequest request;
    request.address = address_;
    request.target = "/v1/instances?viewer=" + viewer_.text();
    request.bodyLimitBytes = ListLimitBytes;
    const auto response = co_await fetch(std::move(request));
    if (!response) {
        co_return tl::unexpected(response.error());
    }
    if (response->status != 200) {
        co_return Common::makeError(
            Common::ErrorCode::Unavailable,
            fmt::format("the instance list service responded with status {}", response->status));
    }
    co_return parseInstanceList(response->body);
}

} // namespace LaburnumChute::Readers
