#include <gtest/gtest.h>

#include "Ledger/Ledger.h"

using namespace LaburnumChute;
using namespace LaburnumChute::Ledger;
using namespace std::chrono_literals;
using Common::RunState;

namespace {

const Common::CustomerName Customer("school");

class LedgerTest : public testing::Test
{
protected:
    static LedgerOptions options()
    {
        LedgerOptions options;
        options.keyLifetime = 10min;
        options.keptAnswerTime = 30min;
        options.maxRecords = 4;
        options.maxKeptAnswerBytes = 100;
        options.duplicateWindow = 5min;
        return options;
    }

    IdempotencyKey mint()
    {
        return ledger_.mint(Customer, now_).value();
    }

    static Submission submission(const IdempotencyKey &key, std::uint64_t body = 1)
    {
        return {key, Customer, body, key.sequence * 1000 + body, false, std::nullopt};
    }

    Attempt proceed(const Submission &submission)
    {
        return std::get<Proceed>(ledger_.begin(submission, now_)).attempt;
    }

    Refused refused(const Submission &submission)
    {
        return std::get<Refused>(ledger_.begin(submission, now_));
    }

    void run(const Submission &submission, const std::string &body)
    {
        const auto dispatch = ledger_.dispatched(proceed(submission), now_).value();
        ASSERT_TRUE(ledger_.finished(dispatch, {200, "text/plain", body}, now_));
    }

    Common::Time now_{1h};
    Ledger::Ledger ledger_{options(), {Common::InstanceId("a"), 7, 99, Common::Time(1h)}};
};

} // namespace

TEST_F(LedgerTest, RepeatedCallerGetsTheKeptAnswer)
{
    const auto key = mint();
    run(submission(key), "order 12");
    const auto outcome = ledger_.begin(submission(key), now_);
    EXPECT_EQ(std::get<ReplayAnswer>(outcome).answer->body, "order 12");
}
