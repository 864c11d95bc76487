#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "LoadTool/HttpClient.h"
#include "LoadTool/Plan.h"

namespace LaburnumChute::LoadTool {

/// Where callers send their requests: asks the directory for any entry instance, that instance for
/// advice, and renews the advice when its lifetime is over.
class EntryChoice
{
public:
    EntryChoice(asio::any_io_executor executor, ClientConnections &connections, const Plan &plan);

    /// Runs for the whole of the load.
    asio::awaitable<void> keepAsking();
    /// True when there is anything to call.
    bool ready() const;
    /// An address for a caller, by the weights that its region was advised; empty while there is no
    /// advice. Targets that failed of late come last.
    std::string choose(const CallerGroup &group, std::mt19937_64 &random);
    void failed(const std::string &address);

private:
    struct Entry
    {
        std::string address;
        double weight = 1;
    };

    /// Fetches the advice for callers of one region; how long it holds.
    asio::awaitable<Common::Duration> ask(std::string region);
    asio::awaitable<std::vector<std::string>> askDirectory();
    bool failedLately(const std::string &address) const;

    asio::any_io_executor executor_;
    ClientConnections &connections_;
    const Plan &plan_;
    /// By region of the callers.
    std::map<std::string, std::vector<Entry>> advice_;
    std::vector<std::string> known_;
    std::map<std::string, Common::Time> failures_;
    std::size_t turn_ = 0;
};

} // namespace LaburnumChute::LoadTool
