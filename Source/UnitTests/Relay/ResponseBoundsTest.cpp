#include <gtest/gtest.h>

#include "Relay/ResponseBounds.h"

namespace LaburnumChute::Relay {

namespace {

constexpr std::size_t Kilobyte = 1024;

} // namespace

// Guards against a head, chunk extension or trailer without end that is kept in memory.
TEST(ResponseBoundsTest, UnparsedBytesAreBounded)
{
    const ResponseBounds bounds;
    EXPECT_EQ(bounds.violation(64 * Kilobyte), "");
    EXPECT_NE(bounds.violation(64 * Kilobyte + 1), "");
}

// Guards against responses to other requests and interim responses that are skipped without end.
TEST(ResponseBoundsTest, SkippedBytesAreBounded)
{
    ResponseBounds bounds;
    bounds.skipped(900 * Kilobyte);
    EXPECT_EQ(bounds.violation(0), "");
    bounds.skipped(200 * Kilobyte);
    EXPECT_NE(bounds.violation(0), "");
}

// Guards against chunk extensions and trailers without end that are discarded one by one.
TEST(ResponseBoundsTest, FramingIsBoundedByTheBody)
{
    ResponseBounds bounds;
    for (int chunk = 0; chunk < 20; ++chunk) {
        bounds.received(4 * Kilobyte + 1, 1);
    }
    EXPECT_EQ(bounds.violation(0), "");
    for (int chunk = 0; chunk < 20; ++chunk) {
        bounds.received(4 * Kilobyte + 1, 1);
    }
    EXPECT_NE(bounds.violation(0), "");
}

// Guards against a sound response of tiny chunks that is taken for one without end.
TEST(ResponseBoundsTest, ChunksOfOneByteAreNoViolation)
{
    ResponseBounds bounds;
    bounds.received(2 * Kilobyte, 0);
    for (int chunk = 0; chunk < 1000 * 1000; ++chunk) {
        bounds.received(6, 1);
    }
    EXPECT_EQ(bounds.violation(6), "");
}

} // namespace LaburnumChute::Relay
