#include "Gateway/Responder.h"

namespace LaburnumChute::Gateway {

asio::awaitable<bool> Responder::head(unsigned status, Common::Headers headers)
{
    started_ = true;
    if (const auto *caller = std::get_if<Caller>(&way_)) {
        co_return co_await (*caller)->startResponse(status, std::move(headers));
    }
    Peers::AnswerHead head;
    head.status = status;
    head.headers = std::move(headers);
    co_return co_await std::get<Peer>(way_)->send(std::move(head));
}

asio::awaitable<bool> Responder::piece(std::string bytes)
{
    if (const auto *caller = std::get_if<Caller>(&way_)) {
        co_return co_await (*caller)->sendChunk(bytes);
    }
    Peers::AnswerPiece piece;
    piece.bytes = std::move(bytes);
    co_return co_await std::get<Peer>(way_)->send(std::move(piece));
}

asio::awaitable<bool> Responder::end()
{
    if (const auto *caller = std::get_if<Caller>(&way_)) {
        co_return co_await (*caller)->endResponse();
    }
    co_return co_await std::get<Peer>(way_)->send(Peers::AnswerEnd());
}

asio::awaitable<bool> Responder::whole(unsigned status, Common::Headers headers, std::string body)
{
    if (const auto *caller = std::get_if<Caller>(&way_)) {
        started_ = true;
        co_return co_await (*caller)->sendResponse(status, std::move(headers), std::move(body));
    }
    headers.push_back({"Content-Length", std::to_string(body.size())});
    if (!co_await head(status, std::move(headers))) {
        co_return false;
    }
    if (!body.empty()) {
        const bool sent = co_await piece(std::move(body));
        if (!sent) {
            co_return false;
        }
    }
    co_return co_await end();
}

asio::awaitable<bool> Responder::problem(Entry::Problem problem)
{
    if (const auto *caller = std::get_if<Caller>(&way_)) {
        co_return co_await (*caller)->sendProblem(std::move(problem));
    }
    Peers::AnswerFailure failure;
    failure.status = problem.status;
    failure.code = problem.code;
    failure.run = problem.run;
    failure.detail = problem.detail;
    failure.extra = problem.extra.dump();
    if (problem.retryAfter) {
        const auto wait = std::chrono::duration_cast<Common::milliseconds>(*problem.retryAfter);
        failure.retryAfterMs = static_cast<std::uint32_t>(wait.count());
    }
    co_return co_await std::get<Peer>(way_)->send(std::move(failure));
}

void Responder::onGone(std::function<void()> callback)
{
    std::visit([&](auto &way) { way->onGone(std::move(callback)); }, way_);
}

bool Responder::gone() const
{
    return std::visit([](const auto &way) { return way->gone(); }, way_);
}

} // namespace LaburnumChute::Gateway
