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
    EntryChoice(ClientConnections &connections, const Plan &plan);

    /// Runs for the whole of the load.
    asio::awaitable<void> keepAsking();
    /// True when there is anything to call.
    bool ready() const;
    /// An address for a caller of a region: by weight among the entries of its region, among all
    /// when there are none. Targets that failed of late come last.
    std::string choose(const CallerGroup &group, std::mt19937_64 &random);
    void failed(const std::string &address);

private:
    struct Entry
    {
        std::string region;
        std::string address;
        double weight = 1;
    };

    asio::awaitable<Common::Duration> ask();
    asio::awaitable<std::vector<std::string>> askDirectory();
    bool failedLately(const std::string &address) const;

    ClientConnections &connections_;
    const Plan &plan_;
    std::vector<Entry> entries_;
    std::vector<std::string> known_;
    std::map<std::string, Common::Time> failures_;
    std::size_t turn_ = 0;
};

} // namespace LaburnumChute::LoadTool
