#pragma once

#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "LoadTool/AnswerCheck.h"
#include "LoadTool/EntryChoice.h"
#include "LoadTool/HttpClient.h"
#include "LoadTool/Outcome.h"
#include "LoadTool/Plan.h"

namespace LaburnumChute::LoadTool {

/// Plays the callers of a plan and keeps what each of them saw.
class Player
{
public:
    Player(asio::io_context &context, const Plan &plan);

    /// Returns when the last caller has its answer or has given up.
    asio::awaitable<void> play();
    const std::vector<Outcome> &outcomes() const
    {
        return outcomes_;
    }
    std::size_t started() const
    {
        return started_;
    }
    std::size_t open() const
    {
        return open_;
    }

private:
    /// A request that a caller is about, over all its tries.
    struct Errand
    {
        Errand(const asio::any_io_executor &executor, const CallerGroup &group);

        const CallerGroup &group;
        Outcome outcome;
        std::string body;
        std::string prompt;
        std::size_t answerTokens = 0;
        std::string supersedes;
        Common::Time startedAt;
        Common::Duration leavesAfter{};
        bool left = false;
        bool finished = false;
        asio::steady_timer patience;
        /// Retry-After of the last refusal.
        Common::Duration pause{};
        /// The try under way, to be closed when the caller leaves.
        ConnectionPointer connection;
        std::string keyEntry;
    };
    using ErrandPointer = std::shared_ptr<Errand>;
    /// What became of one try: the errand is over, another try may help, the outcome is unknown.
    enum class TryEnd { Over, Again, Unknown };

    asio::awaitable<void> arrivals(const CallerGroup &group);
    asio::awaitable<void> serve(ErrandPointer errand);
    asio::awaitable<TryEnd> attempt(ErrandPointer errand);
    asio::awaitable<bool> fetchKey(ErrandPointer errand);
    asio::awaitable<TryEnd> readWhole(ErrandPointer errand, std::string tryId);
    asio::awaitable<TryEnd> readStream(ErrandPointer errand, std::string tryId);
    asio::awaitable<TryEnd> readRefusal(ErrandPointer errand, ResponseHead head, std::string tryId);
    asio::awaitable<void> watchPatience(ErrandPointer errand);
    /// Asks what became of an idempotency key; true when another try may be made.
    asio::awaitable<bool> settleUnknown(ErrandPointer errand);

    ErrandPointer makeErrand(const CallerGroup &group, const std::string &supersedes);
    void writePrompt(Errand &errand);
    void launch(const ErrandPointer &errand);
    void leave(const ErrandPointer &errand);
    TryEnd takeWhole(Errand &errand, const std::string &tryId, const std::string &body);
    static TryEnd takeProblem(Errand &errand, const std::string &body, const std::string &tryId);
    TryEnd broken(Errand &errand) const;
    http::request<http::string_body> request(const Errand &errand, const std::string &address,
                                             const std::string &tryId) const;
    std::string words(std::size_t tokens);
    std::size_t draw(const Range &range);

    asio::io_context &context_;
    const Plan &plan_;
    ClientConnections connections_;
    EntryChoice entries_;
    std::mt19937_64 random_;
    std::string runName_;
    std::map<std::string, std::vector<std::string>> prefixTexts_;
    std::vector<Outcome> outcomes_;
    std::size_t started_ = 0;
    std::size_t open_ = 0;
    bool arriving_ = true;
};

} // namespace LaburnumChute::LoadTool
