#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "Ledger/Ledger.h"

using namespace LaburnumChute;
using Ledger::IdempotencyKey;

namespace {

IdempotencyKey anyKey()
{
    return {Common::InstanceId(*rc::gen::nonEmpty<std::string>()),
            *rc::gen::arbitrary<std::uint64_t>(),
            Common::CustomerName(*rc::gen::arbitrary<std::string>()),
            *rc::gen::arbitrary<std::uint64_t>(),
            Common::milliseconds(*rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000)),
            *rc::gen::arbitrary<std::uint32_t>()};
}

} // namespace

TEST(IdempotencyKey, ParsesItsOwnText)
{
    const auto holds = rc::check("parse(text()) returns the key", [] {
        const auto key = anyKey();
        RC_PRE(key.text().size() <= Ledger::MaxKeyTextBytes);
        const auto parsed = IdempotencyKey::parse(key.text());
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(*parsed == key);
    });
    EXPECT_TRUE(holds);
}

// A key is retyped with one wrong character. If it were accepted as another key, the order could
// run in addition to the one under the original key.
TEST(IdempotencyKey, DetectsAChangedCharacter)
{
    const auto holds = rc::check("one changed character is detected", [] {
        auto text = anyKey().text();
        RC_PRE(text.size() <= Ledger::MaxKeyTextBytes);
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto other = *rc::gen::element('0', '7', 'a', 'f', 'k', 'Z', '.', '%', '-');
        RC_PRE(text[at] != other);
        text[at] = other;
        RC_ASSERT(!IdempotencyKey::parse(text).has_value());
    });
    EXPECT_TRUE(holds);
}

TEST(IdempotencyKey, RejectsTextOfOtherFormats)
{
    const std::string_view texts[] = {"",
                                      ".......",
                                      "lk1",
                                      "lk2.a.1.b.1.0.0.0",
                                      "0b5a3f0e-6a0c-4a55-8d0e-0d7e1a2b3c4d",
                                      "lk1.%.1.b.1.0.0.0"};
    for (const auto text : texts) {
        EXPECT_FALSE(IdempotencyKey::parse(text).has_value()) << text;
    }
    EXPECT_FALSE(IdempotencyKey::parse(std::string(10'000, 'a')).has_value());
}
