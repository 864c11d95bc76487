#include <gtest/gtest.h>

#include "Common/Common.h"

namespace LaburnumChute::Common {

namespace {

TEST(DurationHistogramTest, QuantileIsWithinOneBinOfTheTruth)
{
    DurationHistogram histogram;
    for (int value = 1; value <= 1000; ++value) {
        histogram.record(milliseconds(value));
    }
    EXPECT_EQ(histogram.count(), 1000U);
    EXPECT_NEAR(toSeconds(histogram.quantile(0.5)), 0.5, 0.5 * 0.13);
    EXPECT_NEAR(toSeconds(histogram.quantile(0.99)), 0.99, 0.99 * 0.13);
}

TEST(MetricsRegistryTest, TextNamesEachSeriesOnce)
{
    MetricsRegistry registry;
    registry.counter("requests_total", "Requests", {{"outcome", "ran"}}).add(3);
    registry.counter("requests_total", "Requests", {{"outcome", "ran"}}).add(2);
    registry.histogram("wait_seconds", "Wait").record(milliseconds(2));
    const auto text = registry.prometheusText();
    EXPECT_NE(text.find("requests_total{outcome=\"ran\"} 5\n"), std::string::npos);
    EXPECT_NE(text.find("wait_seconds_bucket{le=\"0.0025\"} 1\n"), std::string::npos);
    EXPECT_NE(text.find("wait_seconds_count 1\n"), std::string::npos);
}

} // namespace

} // namespace LaburnumChute::Common
