#include "Relay/SimpleFetch.h"

#include "Relay/HttpText.h"

namespace LaburnumChute::Relay {

SimpleFetch::SimpleFetch(std::shared_ptr<OutboundPool> pool)
    : pool_(std::move(pool))
{
}

SimpleFetch::~SimpleFetch()
{
    for (auto &[id, pending] : calls_) {
        pending.call->cancel();
    }
}

void SimpleFetch::get(const std::string &address, const std::string &target,
                      Common::milliseconds timeout, std::uint64_t maxBodyBytes,
                      CompletionHandler onComplete, Common::Time now)
{
    const auto id = nextId_++;
    OutboundRequest request;
    request.address = address;
    request.head = requestHead("GET", target, {{"Host", address}});
    request.body = std::make_shared<const std::string>();
    request.maxBodyBytes = maxBodyBytes;
    CallEvents events;
    events.head = [this, id](const ResponseHead &head) {
        calls_.at(id).status = head.status;
        return true;
    };
    // Answers to these calls have no id. The connection carries nothing else, so that neither a
    // second answer to a request is taken for that to a call, nor the reverse.
    events.released = [](OutboundConnectionPtr) {};
    events.body = [this, id](const std::string &bytes) { calls_.at(id).body += bytes; };
    events.end = [this, id](ResponseEnd) {
        auto &pending = calls_.at(id);
        finish(id, pending.status, std::move(pending.body));
    };
    events.failed = [this, id](CallFailure, const std::string &reason) { finish(id, 0, reason); };
    auto &pending = calls_[id];
    pending.deadline = now + timeout;
    pending.onComplete = std::move(onComplete);
    pending.call = std::make_shared<OutboundCall>(pool_, std::move(request), std::move(events));
    pending.call->start(now);
}

void SimpleFetch::finish(std::uint64_t id, unsigned status, std::string body)
{
    const auto entry = calls_.find(id);
    const auto call = entry->second.call;
    const auto onComplete = std::move(entry->second.onComplete);
    calls_.erase(entry);
    call->cancel();
    onComplete(status, std::move(body));
}

void SimpleFetch::tick(Common::Time now)
{
    std::vector<std::shared_ptr<OutboundCall>> calls;
    std::vector<std::uint64_t> expired;
    for (const auto &[id, pending] : calls_) {
        calls.push_back(pending.call);
        if (now >= pending.deadline) {
            expired.push_back(id);
        }
    }
    for (const auto &call : calls) {
        call->tick(now);
    }
    for (const auto id : expired) {
        if (calls_.count(id) > 0) {
            finish(id, 0, "no answer in time");
        }
    }
}

} // namespace LaburnumChute::Relay
