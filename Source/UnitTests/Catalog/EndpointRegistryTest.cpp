#include <gtest/gtest.h>

#include "Catalog/Catalog.h"

namespace LaburnumChute::Catalog {

namespace {

class EndpointRegistryTest : public testing::Test
{
protected:
    static EndpointRecord record(std::int64_t startedAt, std::int64_t sequence,
                                 bool draining = false)
    {
        EndpointRecord record;
        record.id = EndpointId("e");
        record.address = "10.0.0.1:80";
        record.startedAt = startedAt;
        record.sequence = sequence;
        record.draining = draining;
        return record;
    }

    ListedEndpoint onlyEndpoint() const
    {
        return registry_.list().at(0);
    }

    EndpointRegistry registry_;
    Time now_ = Time(std::chrono::seconds(100));
};

} // namespace

// Guards against putting a draining endpoint back into service when a record from before the drain
// arrives late. The endpoint would get new requests and terminate while they are running.
TEST_F(EndpointRegistryTest, LateRecordDoesNotRevokeDraining)
{
    registry_.update(record(1, 7, true), now_);
    registry_.update(record(1, 6), now_);
    EXPECT_TRUE(onlyEndpoint().leaving);
    registry_.update(record(1, 8), now_);
    EXPECT_TRUE(onlyEndpoint().leaving);
}

TEST_F(EndpointRegistryTest, LaterStartUnderTheSameIdIsInService)
{
    registry_.update(record(1, 7, true), now_);
    registry_.update(record(2, 1), now_);
    EXPECT_FALSE(onlyEndpoint().leaving);
    EXPECT_EQ(onlyEndpoint().record.startedAt, 2);
}

// Guards against applying an outdated record to a restarted endpoint: it describes a process that
// has ended.
TEST_F(EndpointRegistryTest, RecordOfAnEarlierStartIsIgnored)
{
    registry_.update(record(2, 1), now_);
    registry_.update(record(1, 9, true), now_);
    EXPECT_FALSE(onlyEndpoint().leaving);
}

// An endpoint that leaves without a drain notice deletes its record, and serves requests for
// only a few more seconds.
TEST_F(EndpointRegistryTest, RemovalWithoutGraceTakesTheEndpointOutOfService)
{
    registry_.update(record(1, 1), now_);
    registry_.remove(EndpointId("e"), Duration(0), now_);
    EXPECT_TRUE(onlyEndpoint().leaving);
}

// Guards against taking all endpoints out of service, and rejecting every request, when the store
// recovers from an outage in which records expired because they could not be renewed.
TEST_F(EndpointRegistryTest, EndpointStaysInServiceDuringTheGrace)
{
    registry_.update(record(1, 1), now_);
    registry_.remove(EndpointId("e"), MissingGrace, now_);
    EXPECT_TRUE(registry_.expire(now_ + milliseconds(1500)).empty());
    EXPECT_TRUE(onlyEndpoint().missing);
    EXPECT_FALSE(onlyEndpoint().leaving);
    registry_.update(record(1, 2), now_ + milliseconds(1600));
    EXPECT_FALSE(onlyEndpoint().missing);
}

TEST_F(EndpointRegistryTest, EndpointIsOutOfServiceAfterTheGrace)
{
    registry_.update(record(1, 1), now_);
    registry_.remove(EndpointId("e"), MissingGrace, now_);
    EXPECT_EQ(registry_.expire(now_ + milliseconds(2000)), std::vector{EndpointId("e")});
    EXPECT_TRUE(onlyEndpoint().leaving);
}

// Guards against adding the full grace to the delay with which an outdated catalog shows a removal.
TEST_F(EndpointRegistryTest, LateRemovalStaysWithinTheDrainBound)
{
    for (const auto bound : {milliseconds(3000), milliseconds(5000)}) {
        for (auto age = milliseconds(0); age < bound; age += milliseconds(100)) {
            const auto grace = remainingGrace(false, age, bound);
            EXPECT_LE(age + grace, std::max<Duration>(age, bound - DrainMargin)) << age.count();
            EXPECT_LE(grace, MissingGrace);
        }
        EXPECT_EQ(remainingGrace(false, milliseconds(0), bound), MissingGrace);
    }
}

// Guards against dropping live endpoints whose records expired during a store outage.
TEST_F(EndpointRegistryTest, FullGraceAppliesAfterALongStoreOutage)
{
    EXPECT_EQ(remainingGrace(false, milliseconds(5000), milliseconds(5000)), MissingGrace);
    EXPECT_EQ(remainingGrace(false, std::nullopt, milliseconds(5000)), MissingGrace);
    EXPECT_EQ(remainingGrace(true, milliseconds(0), milliseconds(5000)), Duration(0));
}

// Even an outdated copy of the record shows that the endpoint still exists.
TEST_F(EndpointRegistryTest, OutdatedCopyOfAMissingRecordEndsTheGrace)
{
    registry_.update(record(1, 5), now_);
    registry_.remove(EndpointId("e"), MissingGrace, now_);
    registry_.update(record(1, 4), now_);
    EXPECT_FALSE(onlyEndpoint().missing);
    EXPECT_EQ(onlyEndpoint().record.sequence, 5);
}

TEST_F(EndpointRegistryTest, WarmUpTimeCountsFromTheArrivalOfTheRecord)
{
    auto cold = record(1, 1);
    cold.coldLeft = milliseconds(3000);
    registry_.update(cold, now_);
    EXPECT_EQ(onlyEndpoint().coldUntil, now_ + milliseconds(3000));
}

} // namespace LaburnumChute::Catalog
