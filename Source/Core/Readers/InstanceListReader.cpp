#include "Readers/InstanceListReader.h"

namespace LaburnumChute::Readers {

namespace {

constexpr std::size_t ListLimitBytes = 16UL * 1024 * 1024;

} // namespace

asio::awaitable<Common::Result<InstanceList>> InstanceListReader::read() const
{
    HttpQuery query;
    query.address = address_;
    query.target = "/v1/instances?viewer=" + viewer_.text();
    query.bodyLimitBytes = ListLimitBytes;
    const auto answer = co_await fetch(std::move(query));
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    if (answer->status != 200) {
        co_return Common::makeError(Common::ErrorCode::Unavailable,
                                    fmt::format("the instance list answered {}", answer->status));
    }
    co_return parseInstanceList(answer->body);
}

} // namespace LaburnumChute::Readers
