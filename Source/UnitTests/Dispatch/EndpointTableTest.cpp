#include <random>

#include <gtest/gtest.h>

#include "Dispatch/EndpointTable.h"

namespace LaburnumChute::Dispatch {

namespace {

const ServiceName Model("model");

Catalog::ListedEndpoint makeEndpoint(int index)
{
    Catalog::ListedEndpoint endpoint;
    endpoint.record.id = EndpointId("e" + std::to_string(index));
    endpoint.record.service = Model;
    endpoint.record.address = "10.0.0.1:" + std::to_string(index);
    endpoint.record.failureDomain = Common::FailureDomainName("zone");
    endpoint.record.startedAt = 1;
    return endpoint;
}

std::set<EndpointId> usableIds(const EndpointTable &table)
{
    std::set<EndpointId> ids;
    for (const auto *endpoint : table.usable(Model)) {
        ids.insert(endpoint->listed.record.id);
    }
    return ids;
}

/// Applies random changes to one table one by one and to another as complete lists.
class TwoTables
{
public:
    explicit TwoTables(int size)
        : random_(static_cast<std::uint64_t>(size))
    {
        for (auto *table : {&incremental_, &complete_}) {
            table->setServices({{Model, Catalog::Service{}}});
        }
        for (int index = 0; index < size; ++index) {
            listed_[index] = makeEndpoint(index);
        }
        incremental_.setEndpoints(list(), {}, now_);
    }

    void change()
    {
        EndpointChanges changes;
        std::uniform_int_distribution<int> index(0, static_cast<int>(listed_.size()));
        std::uniform_int_distribution<int> kind(0, 2);
        for (int count = 0; count < 3; ++count) {
            const auto chosen = index(random_);
            auto endpoint = makeEndpoint(chosen);
            switch (kind(random_)) {
            case 0:
                listed_.erase(chosen);
                std::erase_if(changes.updated, [&](const auto &each) {
                    return each.record.id == endpoint.record.id;
                });
                changes.removed.push_back(endpoint.record.id);
                continue;
            case 1:
                endpoint.leaving = true;
                break;
            default:
                endpoint.record.startedAt = 2;
                break;
            }
            listed_[chosen] = endpoint;
            changes.updated.push_back(endpoint);
        }
        incremental_.updateEndpoints(changes, now_);
        complete_.setEndpoints(list(), {}, now_);
    }
    void expectEqual() const
    {
        EXPECT_EQ(usableIds(incremental_), usableIds(complete_));
        EXPECT_EQ(incremental_.all().size(), complete_.all().size());
    }

private:
    std::vector<Catalog::ListedEndpoint> list() const
    {
        std::vector<Catalog::ListedEndpoint> endpoints;
        for (const auto &[index, endpoint] : listed_) {
            endpoints.push_back(endpoint);
        }
        return endpoints;
    }

    DispatchOptions options_;
    EndpointTable incremental_{options_};
    EndpointTable complete_{options_};
    std::map<int, Catalog::ListedEndpoint> listed_;
    std::mt19937_64 random_;
    Time now_ = Time(seconds(1000));
};

} // namespace

// Guards against endpoints that stay usable after they have left, or are missing although they are
// listed, when only the changes of a large region are applied.
TEST(EndpointTableTest, ChangesGiveTheSameEndpointsAsACompleteList)
{
    for (const int size : {5, 300, 3000}) {
        TwoTables tables(size);
        for (int step = 0; step < 60; ++step) {
            tables.change();
            tables.expectEqual();
        }
    }
}

TEST(EndpointTableTest, RemovedEndpointIsKeptUntilItsLastRequestHasEnded)
{
    DispatchOptions options;
    EndpointTable table(options);
    const auto now = Time(seconds(1000));
    table.setServices({{Model, Catalog::Service{}}});
    table.setEndpoints({makeEndpoint(1)}, {}, now);
    const auto id = makeEndpoint(1).record.id;
    table.find(id)->own = 1;
    table.updateEndpoints({{}, {id}}, now);
    ASSERT_NE(table.find(id), nullptr);
    EXPECT_TRUE(table.usable(Model).empty());
    table.find(id)->own = 0;
    table.updateEndpoints({{makeEndpoint(2)}, {}}, now);
    EXPECT_EQ(table.find(id), nullptr);
}

} // namespace LaburnumChute::Dispatch
