#include <gtest/gtest.h>

#include "Catalog/Catalog.h"

namespace LaburnumChute::Catalog {

namespace {

/// Keys: "c" is a configuration with its version as the value, "z/NAME" an evacuation, and "e/NAME"
/// an endpoint with its sequence, or "bad", as the value.
Record decode(const Item &item)
{
    if (item.key == "c") {
        Configuration configuration;
        configuration.version = item.value ? std::stoul(*item.value) : 0;
        return configuration;
    }
    if (item.key[0] == 'z') {
        return Evacuation{FailureDomainName(item.key.substr(2))};
    }
    const EndpointId id(item.key.substr(2));
    if (item.value == "bad") {
        return Undecodable{"not a record", id};
    }
    EndpointRecord record;
    record.id = id;
    record.sequence = item.value ? std::stol(*item.value) : 0;
    return record;
}

class CatalogTest : public testing::Test
{
protected:
    CatalogChanges apply(const std::string &key, Revision revision,
                         std::optional<std::string> value)
    {
        return catalog_.apply({{Item{key, revision, std::move(value)}}, revision, false},
                              Duration(0), now_);
    }

    Catalog catalog_{&decode};
    Time now_ = Time(std::chrono::seconds(100));
};

} // namespace

TEST_F(CatalogTest, HasNoRoutesBeforeTheFirstConfiguration)
{
    EXPECT_EQ(catalog_.routes(), nullptr);
    EXPECT_TRUE(apply("c", 1, "3").configuration);
    EXPECT_EQ(catalog_.version(), 3U);
}

// Guards against a rollback when an old version is written again under a new revision or read from
// an outdated copy. Callers would see routes disappear and reappear.
TEST_F(CatalogTest, VersionsOnlyGrow)
{
    apply("c", 1, "7");
    EXPECT_FALSE(apply("c", 2, "5").configuration);
    EXPECT_EQ(catalog_.version(), 7U);
    EXPECT_FALSE(apply("c", 3, std::nullopt).configuration);
    EXPECT_EQ(catalog_.version(), 7U);
}

TEST_F(CatalogTest, EvacuationLastsUntilItsItemIsDeleted)
{
    apply("z/north", 1, "{}");
    EXPECT_EQ(catalog_.evacuated().count(FailureDomainName("north")), 1U);
    apply("z/north", 2, std::nullopt);
    EXPECT_TRUE(catalog_.evacuated().empty());
}

// Another writer stores an undecodable value under an endpoint's key. The endpoint of that key must
// be taken out of service, and all others must stay.
TEST_F(CatalogTest, UndecodableRecordTakesItsEndpointOutOfService)
{
    apply("e/one", 1, "1");
    apply("e/two", 2, "1");
    const auto changed = apply("e/one", 3, "bad");
    ASSERT_EQ(changed.undecodable.size(), 1U);
    EXPECT_EQ(changed.undecodable[0].first, "e/one");
    for (const auto &endpoint : catalog_.endpoints()) {
        EXPECT_EQ(endpoint.leaving, endpoint.record.id == EndpointId("one"));
    }
}

} // namespace LaburnumChute::Catalog
