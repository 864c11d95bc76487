#include <array>
#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "Relay/EventLog.h"

namespace LaburnumChute::Relay {

namespace {

class EventLogTest : public testing::Test
{
protected:
    EventLogTest()
    {
        std::array<int, 2> descriptors{};
        if (::pipe(descriptors.data()) != 0) {
            throw std::runtime_error("no pipe");
        }
        reader_ = descriptors[0];
        writer_ = descriptors[1];
        ::fcntl(reader_, F_SETFL, O_NONBLOCK);
    }
    ~EventLogTest() override
    {
        ::close(reader_);
        ::close(writer_);
    }

    std::string readText()
    {
        std::string text;
        std::array<char, 65536> buffer{};
        for (auto size = ::read(reader_, buffer.data(), buffer.size()); size > 0;
             size = ::read(reader_, buffer.data(), buffer.size())) {
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return text;
    }
    std::vector<nlohmann::json> readLines()
    {
        std::vector<nlohmann::json> result;
        std::istringstream stream(readText());
        for (std::string line; std::getline(stream, line);) {
            result.push_back(nlohmann::json::parse(line));
        }
        return result;
    }

    EventLog makeLog(double linesPerSecond)
    {
        EventLog::Options options;
        options.linesPerSecond = linesPerSecond;
        options.burst = 2 * linesPerSecond;
        return EventLog(writer_, options, "one");
    }

    int reader_ = -1;
    int writer_ = -1;
    Common::Time now_ = Common::Time(std::chrono::seconds(100));
};

} // namespace

TEST_F(EventLogTest, LineIsJsonWithAllFields)
{
    auto events = makeLog(10);
    EventLine line("reject");
    line.add("request", "a\"b\n")
        .add("waited", Common::milliseconds(12))
        .add("sent", true)
        .add("n", std::int64_t(3));
    events.write(line, now_);
    events.flush(now_);
    const auto written = readLines();
    ASSERT_EQ(written.size(), 1U);
    EXPECT_EQ(written[0]["event"], "reject");
    EXPECT_EQ(written[0]["instance"], "one");
    EXPECT_EQ(written[0]["request"], "a\"b\n");
    EXPECT_EQ(written[0]["waited_ms"], 12);
    EXPECT_EQ(written[0]["sent"], true);
}

// At ten times the usual request rate, the log volume must stay bounded, the number of dropped
// lines must be reported, and rare events must not be dropped.
TEST_F(EventLogTest, VolumeIsBoundedUnderTenTimesTheLoad)
{
    auto events = makeLog(100);
    constexpr int Seconds = 5;
    for (int step = 0; step < Seconds * 1000; ++step) {
        events.write(EventLine("send"), now_);
        if (step % 1000 == 0) {
            events.write(EventLine("store-lost"), now_);
        }
        now_ += Common::milliseconds(1);
        events.flush(now_);
    }
    now_ += Common::milliseconds(1000);
    events.flush(now_);
    int sendLines = 0;
    int storeLostLines = 0;
    std::int64_t dropped = 0;
    for (const auto &line : readLines()) {
        sendLines += line["event"] == "send" ? 1 : 0;
        storeLostLines += line["event"] == "store-lost" ? 1 : 0;
        dropped += line["event"] == "lines-left-out" ? line["count"].get<std::int64_t>() : 0;
    }
    EXPECT_LE(sendLines, 100 * Seconds + 200);
    EXPECT_EQ(storeLostLines, Seconds);
    EXPECT_EQ(sendLines + dropped, Seconds * 1000);
}

// The log reader has stopped reading. A blocking write would stall all requests.
TEST_F(EventLogTest, FullPipeDoesNotBlock)
{
    auto events = makeLog(1e9);
    const auto start = std::chrono::steady_clock::now();
    for (int index = 0; index < 20000; ++index) {
        EventLine line("send");
        line.add("request", std::string(100, 'x'));
        events.write(line, now_);
    }
    events.flush(now_);
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(5));
    // The last line may be incomplete.
    EXPECT_FALSE(readText().empty());
}

} // namespace LaburnumChute::Relay
