// laburnumchute-load play PLAN.json: plays the callers of a plan and prints what they got. Exit
// status 1 when a wanted request was lost, an answer was wrong, or something ran twice.
// laburnumchute-load overhead ...: see Overhead.h.

#include <fstream>
#include <iostream>

#include "LoadTool/Overhead.h"
#include "LoadTool/Player.h"
#include "LoadTool/Report.h"

namespace {

using namespace LaburnumChute;
using namespace LaburnumChute::LoadTool;

asio::awaitable<void> fetchRecords(ClientConnections &connections, const Plan &plan,
                                   std::vector<nlohmann::json> &records)
{
    for (const auto &control : plan.controls) {
        auto request = makeRequest(http::verb::get, control, "/record?times=true", {}, "");
        const auto answer = co_await call(connections, control, std::move(request));
        if (answer && answer->head.status == 200) {
            records.push_back(nlohmann::json::parse(answer->body, nullptr, false));
        }
    }
}

asio::awaitable<void> showProgress(asio::io_context &context, const Player &player)
{
    constexpr Common::seconds Interval{5};
    asio::steady_timer timer(context);
    int elapsed = 0;
    for (;;) {
        timer.expires_after(Interval);
        co_await timer.async_wait(asio::use_awaitable);
        elapsed += static_cast<int>(Interval.count());
        std::cout << fmt::format("{:>4} s: {} requests started, {} open\n", elapsed,
                                 player.started(), player.open())
                  << std::flush;
    }
}

asio::awaitable<void> playAll(asio::io_context &context, const Plan &plan, Player &player,
                              std::vector<nlohmann::json> &records)
{
    co_await player.play();
    // Engines notice a closed connection late: what they still do counts.
    asio::steady_timer timer(context, Common::milliseconds(1500));
    co_await timer.async_wait(asio::use_awaitable);
    ClientConnections connections(context.get_executor());
    co_await fetchRecords(connections, plan, records);
    context.stop();
}

int play(const std::string &path)
{
    std::ifstream file(path);
    const Plan plan(nlohmann::json::parse(file));
    asio::io_context context(1);
    Player player(context, plan);
    std::vector<nlohmann::json> records;
    asio::co_spawn(context, showProgress(context, player), asio::detached);
    asio::co_spawn(context, playAll(context, plan, player, records), asio::detached);
    context.run();
    if (!plan.recordFile.empty()) {
        std::ofstream out(plan.recordFile);
        for (const auto &outcome : player.outcomes()) {
            out << toJson(outcome).dump() << '\n';
        }
    }
    const auto report = evaluate(plan, player.outcomes(), records);
    std::cout << table(report);
    return report.good() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.size() == 2 && words[0] == "play") {
        return play(words[1]);
    }
    if (words.size() == 2 && words[0] == "overhead") {
        return measureOverhead(words[1]);
    }
    std::cerr << "usage: laburnumchute-load play PLAN.json | overhead PLAN.json\n";
    return 2;
}
