#include "Relay/StartupQueue.h"

#include <algorithm>
#include <utility>

namespace LaburnumChute::Relay {

namespace {

/// Leaves time for a second attempt to get the configuration from a store in another region.
constexpr Common::milliseconds MaxWait{600};
constexpr std::size_t MaxRequests = 512;
constexpr std::size_t MaxBodyBytes = 8u << 20;

} // namespace

bool StartupQueue::add(EarlyRequest &request)
{
    const auto bytes = request.request.body->size();
    if (requests_.size() >= MaxRequests || bodyBytes_ + bytes > MaxBodyBytes) {
        return false;
    }
    bodyBytes_ += bytes;
    requests_.push_back(std::move(request));
    return true;
}

std::vector<EarlyRequest> StartupQueue::takeAll()
{
    bodyBytes_ = 0;
    return std::exchange(requests_, {});
}

std::vector<EarlyRequest> StartupQueue::takeExpired(Common::Time now)
{
    const auto firstRecent =
        std::find_if(requests_.begin(), requests_.end(), [now](const EarlyRequest &request) {
            return now - request.receivedAt < MaxWait;
        });
    std::vector<EarlyRequest> expired(std::make_move_iterator(requests_.begin()),
                                      std::make_move_iterator(firstRecent));
    requests_.erase(requests_.begin(), firstRecent);
    for (const auto &request : expired) {
        bodyBytes_ -= request.request.body->size();
    }
    return expired;
}

} // namespace LaburnumChute::Relay
