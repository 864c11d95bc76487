#include "Operator/OperatorClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace LaburnumChute::Operator {

namespace asio = boost::asio;

using Answer = Common::Result<Readers::HttpClientResponse>;

const Common::Setting<Common::milliseconds> TimeoutSetting{
    "timeout",
    "operator",
    Common::milliseconds(5000),
    "Longest wait for the answer of one gateway",
    "a duration from 1ms to 10min, such as 500ms or 5s",
    [](const Common::milliseconds &value) {
        return value.count() > 0 && value <= std::chrono::minutes(10);
    }};

namespace {

asio::awaitable<void> fetchInto(Readers::HttpClientRequest query, Answer &answer)
{
    answer = co_await Readers::fetch(std::move(query));
}

} // namespace

std::vector<Answer> fetchAll(const std::vector<Readers::HttpClientRequest> &queries)
{
    asio::io_context context(1);
    std::vector<Answer> answers(queries.size(),
                                Common::makeError(Common::ErrorCode::Internal, "not sent"));
    for (std::size_t index = 0; index < queries.size(); ++index) {
        asio::co_spawn(context, fetchInto(queries[index], answers[index]), asio::detached);
    }
    context.run();
    return answers;
}

} // namespace LaburnumChute::Operator
