#include <atomic>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "Common/Common.h"

namespace LaburnumChute::Common {

namespace {

struct Pair
{
    int first = 0;
    int second = 0;
};

TEST(RcuCellTest, ReadersNeverSeeAHalfReplacedValue)
{
    RcuCell<Pair> cell(std::make_shared<const Pair>());
    std::atomic<bool> stop{false};
    std::atomic<int> torn{0};
    std::vector<std::thread> readers;
    for (int reader = 0; reader < 3; ++reader) {
        readers.emplace_back([&] {
            while (!stop) {
                torn += cell.read([](const Pair &pair) { return pair.first != pair.second; });
                const auto kept = cell.share();
                torn += kept->first != kept->second;
            }
        });
    }
    for (int round = 1; round <= 500; ++round) {
        cell.publish(std::make_shared<const Pair>(Pair{round, round}));
    }
    stop = true;
    for (auto &reader : readers) {
        reader.join();
    }
    EXPECT_EQ(torn, 0);
    EXPECT_EQ(cell.share()->first, 500);
}

} // namespace

} // namespace LaburnumChute::Common
