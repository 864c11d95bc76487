#include "Gateway/Responder.h"

namespace LaburnumChute::Gateway {

asio::awaitable<bool> Responder::sendHead(unsigned status, Common::Headers headers)
{
    started_ = true;
    if (const auto *caller = std::get_if<Caller>(&receiver_)) {
        co_return co_await (*caller)->startResponse(status, std::move(headers));
    }
    Peers::AnswerHead head;
    head.status = status;
    head.headers = std::move(headers);
    co_return co_await std::get<Peer>(receiver_)->send(std::move(head));
}

asio::awaitable<bool> Responder::sendPiece(std::string bytes)
{
    if (const auto *caller = std::get_if<Caller>(&receiver_)) {
        co_return co_await (*caller)->sendChunk(bytes);
    }
    Peers::AnswerPiece piece;
    piece.bytes = std::move(bytes);
    co_return co_await std::get<Peer>(receiver_)->send(std::move(piece));
}

asio::awaitable<bool> Responder::sendEnd()
{
    if (const auto *caller = std::get_if<Caller>(&receiver_)) {
        co_return co_await (*caller)->endResponse();
    }
    co_return co_await std::get<Peer>(receiver_)->send(Peers::AnswerEnd());
}

asio::awaitable<bool> Responder::sendWhole(unsigned status, Common::Headers headers,
                                           std::string body)
{
    if (const auto *caller = std::get_if<Caller>(&receiver_)) {
        started_ = true;
        co_return co_await (*caller)->sendResponse(status, std::move(headers), std::move(body));
    }
    headers.push_back({"Content-Length", std::to_string(body.size())});
    if (!co_await sendHead(status, std::move(headers))) {
        co_return false;
    }
    if (!body.empty()) {
        const bool sent = co_await sendPiece(std::move(body));
        if (!sent) {
            co_return false;
        }
    }
    co_return co_await sendEnd();
}

asio::awaitable<bool> Responder::sendProblem(Entry::Problem problem)
{
    if (const auto *caller = std::get_if<Caller>(&receiver_)) {
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
    co_return co_await std::get<Peer>(receiver_)->send(std::move(failure));
}

void Responder::onDisconnect(std::function<void()> callback)
{
    std::visit([&](auto &receiver) { receiver->onGone(std::move(callback)); }, receiver_);
}

void Responder::onWithdrawn(std::function<void()> callback)
{
    if (const auto *peer = std::get_if<Peer>(&receiver_)) {
        (*peer)->onWithdrawn(std::move(callback));
    }
}

bool Responder::disconnected() const
{
    return std::visit([](const auto &receiver) { return receiver->gone(); }, receiver_);
}

} // namespace LaburnumChute::Gateway
